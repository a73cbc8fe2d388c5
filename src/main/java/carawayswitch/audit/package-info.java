/**
 * Audit trail of changes.
 */
package carawayswitch.audit;
