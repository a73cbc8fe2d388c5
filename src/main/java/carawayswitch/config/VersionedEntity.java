package carawayswitch.config;

/**
 * An entity with the revision that a change must name. Immutable.
 *
 * @param revision offset of the change that set the entity, plus one
 * @param entity the entity, or null when it was deleted
 */
public record VersionedEntity(long revision, Entity entity) {

}
