package carawayswitch.config;

/**
 * An entity with its revision, which a change must name to be accepted (optimistic
 * locking). Immutable.
 *
 * @param revision offset of the change that set the entity, plus one
 * @param entity the entity, or null when it was deleted
 */
public record VersionedEntity(long revision, Entity entity) {

}
