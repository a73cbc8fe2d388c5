package carawayswitch.gateway;

import java.util.List;
import java.util.Map;

import carawayswitch.route.StreamOrigin;

/**
 * Streams and what has begun them, as stored in one record. Immutable.
 *
 * @param name name of the record
 * @param lifetimeMillis time in milliseconds for which clients may take the streams up,
 * from when the batch was stored
 * @param keys keys of the streams, by what has begun them
 */
public record StreamBatch(String name, long lifetimeMillis, Map<StreamOrigin, List<String>> keys) {

}
