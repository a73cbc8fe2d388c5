/**
 * Audit trail of changes and actions of the system, buffered until the log stores it.
 */
package carawayswitch.audit;
