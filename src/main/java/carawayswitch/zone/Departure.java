package carawayswitch.zone;

/**
 * Whether one piece of work leaves its zone. Immutable.
 *
 * @param target zone to which it is sent, or empty if it is to stay
 * @param costMillis cost of leaving in milliseconds: time of the path and price
 * @param gainMillis wait that leaving is expected to save, in milliseconds
 * @param pays true if leaving pays for this work, also if it is not its turn
 */
public record Departure(String target, double costMillis, double gainMillis, boolean pays) {

}
