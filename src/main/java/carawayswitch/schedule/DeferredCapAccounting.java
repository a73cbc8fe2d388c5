package carawayswitch.schedule;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import carawayswitch.message.OrganisationCapState;
import carawayswitch.message.OrganisationUse;

/**
 * Deferred accounting of cap use: requests of one host use the caps of organisations
 * without asking the owner of the caps first, since the answer would take as long as the
 * request itself. The host reports the use afterwards, and the owner acknowledges it and
 * reports which caps are exhausted. Invariant: while the owner does not acknowledge, a
 * host uses at most its part of a small allowance in a window, in addition to what it
 * used before it could detect that the owner is unreachable. Times are milliseconds. Not
 * safe for use by several threads.
 *
 * <pre>
 * long waitMillis = accounting.tryAcquire("yard", 200, hosts, now);
 * send(accounting.nextReport(now));
 * accounting.onAcknowledged(states, now);
 * </pre>
 */
public final class DeferredCapAccounting {

	/**
	 * Time in milliseconds between two reports to the owner. An exhausted cap is exceeded
	 * by the use of one such interval.
	 */
	public static final long REPORT_INTERVAL_MILLIS = 150;

	/**
	 * Number of reports in a row without an acknowledgement after which the owner counts
	 * as unreachable. Reports are counted rather than time, since acknowledgements may
	 * have arrived unread while this process was paused.
	 */
	static final int UNANSWERED_REPORTS = 4;

	private final Map<String, Account> accounts = new HashMap<>();

	private final double allowanceUnits;

	private final long windowMillis;

	/** Reports since the last acknowledgement. */
	private int unansweredReports;

	/**
	 * Creates an accounting without recorded use.
	 * @param allowanceUnits units of an organisation that all hosts together may use in a
	 * window while they cannot reach an owner
	 * @param windowMillis length of the window in milliseconds
	 */
	public DeferredCapAccounting(double allowanceUnits, long windowMillis) {
		this.allowanceUnits = allowanceUnits;
		this.windowMillis = windowMillis;
	}

	/**
	 * Takes units and records them as unacknowledged, unless the cap is exhausted or the
	 * owner is unreachable and this host's part of the allowance is used up.
	 * @param organisation name of the organisation
	 * @param units number of units
	 * @param hosts number of hosts that share the allowance
	 * @param now time in milliseconds
	 * @return 0 if the units may be used, or the time in milliseconds after which to
	 * retry
	 */
	public long tryAcquire(String organisation, long units, int hosts, long now) {
		Account account = this.accounts.computeIfAbsent(organisation, (name) -> new Account());
		if (now < account.exhaustedUntil) {
			return account.exhaustedUntil - now;
		}
		account.removeBefore(now - this.windowMillis);
		boolean ownerUnreachable = !account.unacknowledged.isEmpty() && this.unansweredReports >= UNANSWERED_REPORTS;
		if (ownerUnreachable && account.unacknowledgedUnits() + units > this.allowanceUnits / Math.max(1, hosts)) {
			return Math.max(1, account.unacknowledged.peekFirst().at() + this.windowMillis - now);
		}
		account.totalUnits += units;
		account.unacknowledged.addLast(new UnacknowledgedUse(now, account.totalUnits, units));
		return 0;
	}

	/**
	 * Creates the next report to the owner, the unacknowledged use of the window.
	 * @param now time in milliseconds
	 * @return use by organisation; empty if all is acknowledged
	 */
	public List<OrganisationUse> nextReport(long now) {
		List<OrganisationUse> uses = new ArrayList<>();
		this.accounts.forEach((organisation, account) -> {
			account.removeBefore(now - this.windowMillis);
			if (!account.unacknowledged.isEmpty()) {
				uses.add(new OrganisationUse(organisation, account.totalUnits, account.unacknowledgedUnits()));
			}
		});
		this.unansweredReports = uses.isEmpty() ? 0 : this.unansweredReports + 1;
		return uses;
	}

	/**
	 * Removes use that the owner has acknowledged and records which caps are exhausted.
	 * @param states states of the caps that the owner has sent
	 * @param now time in milliseconds
	 */
	public void onAcknowledged(List<OrganisationCapState> states, long now) {
		this.unansweredReports = 0;
		for (OrganisationCapState state : states) {
			Account account = this.accounts.get(state.organisation());
			if (account != null) {
				account.unacknowledged.removeIf((use) -> use.totalAfter() <= state.total());
				account.exhaustedUntil = now + state.exhaustedMillis();
			}
		}
	}

	/**
	 * Use of one organisation. Confined to its accounting.
	 */
	private static final class Account {

		final Deque<UnacknowledgedUse> unacknowledged = new ArrayDeque<>();

		/** Units used since the account was created. */
		long totalUnits;

		/** Time until which the owner has reported the cap as exhausted. */
		long exhaustedUntil;

		void removeBefore(long time) {
			while (!this.unacknowledged.isEmpty() && this.unacknowledged.peekFirst().at() < time) {
				this.unacknowledged.removeFirst();
			}
		}

		long unacknowledgedUnits() {
			return this.unacknowledged.stream().mapToLong(UnacknowledgedUse::units).sum();
		}

	}

	/**
	 * Use that the owner has not acknowledged. Immutable.
	 *
	 * @param at time of the use in milliseconds
	 * @param totalAfter total units of the account including this use
	 * @param units number of units
	 */
	private record UnacknowledgedUse(long at, long totalAfter, long units) {

	}

}
