package carawayswitch.entry;

import java.time.Duration;

/**
 * Settings of the entry. Immutable.
 *
 * @param maxBodyBytes largest accepted request body in bytes
 * @param defaultDeadline deadline of requests that name none
 * @param maxAttempts most attempts of one request
 * @param retryRatio retries allowed for each success
 * @param backoff mean delay before the first retry
 * @param answerStoreBytes memory for kept answers in bytes
 * @param dedupeWindow age up to which answers are kept
 * @param operatorTokenHash SHA-256 of the operators' token
 */
public record EntrySettings(int maxBodyBytes, Duration defaultDeadline, int maxAttempts, double retryRatio,
		Duration backoff, long answerStoreBytes, Duration dedupeWindow, String operatorTokenHash) {

}
