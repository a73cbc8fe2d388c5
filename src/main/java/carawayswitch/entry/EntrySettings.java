package carawayswitch.entry;

import java.time.Duration;

/**
 * Settings of the HTTP API for callers and operators. Immutable.
 *
 * @param maxBodyBytes largest accepted request body in bytes
 * @param defaultDeadline time allowed for a request when neither the request nor its
 * profile sets a deadline
 * @param maxAttempts maximum number of attempts of one request
 * @param retryRatio retries added to the retry budget for each success
 * @param backoff mean delay before the first retry
 * @param answerStoreBytes maximum size of finished answers kept for repeated keys, in
 * bytes
 * @param dedupeWindow maximum age of kept answers
 * @param operatorTokenHash SHA-256 of the operators' token in hexadecimal
 */
public record EntrySettings(int maxBodyBytes, Duration defaultDeadline, int maxAttempts, double retryRatio,
		Duration backoff, long answerStoreBytes, Duration dedupeWindow, String operatorTokenHash) {

}
