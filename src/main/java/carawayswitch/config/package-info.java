/**
 * Configuration of both fleets: entities, qualified names, and the state that results
 * from applying the records of the log.
 */
package carawayswitch.config;
