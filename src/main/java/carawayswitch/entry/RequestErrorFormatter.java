package carawayswitch.entry;

import io.activej.async.exception.AsyncTimeoutException;
import io.activej.http.HttpError;
import io.activej.http.HttpExceptionFormatter;
import io.activej.http.HttpResponse;
import io.activej.http.MalformedHttpException;
import io.activej.promise.Promise;

import carawayswitch.log.LogEvent;
import carawayswitch.outcome.ErrorKind;
import carawayswitch.outcome.Outcome;
import carawayswitch.outcome.TimeOrderedId;

/**
 * Formats the responses to malformed requests, to requests that timed out while being
 * read, and to those that failed with an internal error. Logs every failure. Immutable
 * and safe for use by several threads.
 *
 * @param host id of this host
 */
public record RequestErrorFormatter(String host) implements HttpExceptionFormatter {

	@Override
	public Promise<HttpResponse> formatException(Exception failure) {
		ErrorKind kind = kind(failure);
		if (kind == ErrorKind.INTERNAL) {
			LogEvent.INTERNAL_ERROR.log("reason", failure);
		}
		else {
			LogEvent.REQUEST_REJECTED.log("reason", failure.getMessage());
		}
		Outcome outcome = kind.outcome();
		return Promise.of(ErrorResponses.response(kind, outcome, "", 0, TimeOrderedId.next(), this.host));
	}

	private static ErrorKind kind(Exception failure) {
		if (failure instanceof AsyncTimeoutException) {
			return ErrorKind.REQUEST_TIMEOUT;
		}
		boolean malformed = failure instanceof MalformedHttpException || failure instanceof HttpError;
		return malformed ? ErrorKind.BAD_REQUEST : ErrorKind.INTERNAL;
	}

}
