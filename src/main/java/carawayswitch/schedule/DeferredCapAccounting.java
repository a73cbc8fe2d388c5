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
 * What requests of one host use of the caps of organisations without asking the owner of
 * the caps first, since an answer would take as long as the request itself. Use is
 * reported afterwards, and the owner tells which caps are exhausted. Invariant: while the
 * owner does not acknowledge, a host uses at most its part of a small allowance in a
 * window, beyond what it used before it could notice. Times are milliseconds. Not safe
 * for use by several threads.
 *
 * <pre>
 * long wait = debits.take("yard", 200, hosts, now);
 * send(debits.unacknowledged(now));
 * debits.acknowledged(states, now);
 * </pre>
 */
public final class DeferredCapAccounting {

	/**
	 * Age of use that is not acknowledged, in milliseconds, from which on the owner
	 * counts as out of reach; a few reports have been lost by then.
	 */
	static final long OWNER_UNREACHABLE_MILLIS = 600;

	private final Map<String, Account> accounts = new HashMap<>();

	private final double allowanceUnits;

	private final long windowMillis;

	/**
	 * Creates accounts without use.
	 * @param allowanceUnits units of an organisation that all hosts together may use in a
	 * window while they do not reach an owner
	 * @param windowMillis length of the window in milliseconds
	 */
	public DeferredCapAccounting(double allowanceUnits, long windowMillis) {
		this.allowanceUnits = allowanceUnits;
		this.windowMillis = windowMillis;
	}

	/**
	 * Uses units.
	 * @param organisation name of the organisation
	 * @param units number of units
	 * @param hosts number of hosts that share the allowance
	 * @param now time in milliseconds
	 * @return 0 if the units may be used, or the time in milliseconds after which to ask
	 * again
	 */
	public long tryAcquire(String organisation, long units, int hosts, long now) {
		Account account = this.accounts.computeIfAbsent(organisation, (name) -> new Account());
		if (now < account.exhaustedUntil) {
			return account.exhaustedUntil - now;
		}
		account.removeBefore(now - this.windowMillis);
		boolean ownerUnreachable = !account.unacknowledged.isEmpty()
				&& now - account.unacknowledged.peekFirst().at() > OWNER_UNREACHABLE_MILLIS;
		if (ownerUnreachable && account.unacknowledgedUnits() + units > this.allowanceUnits / Math.max(1, hosts)) {
			return Math.max(1, account.unacknowledged.peekFirst().at() + this.windowMillis - now);
		}
		account.totalUnits += units;
		account.unacknowledged.addLast(new UnacknowledgedUse(now, account.totalUnits, units));
		return 0;
	}

	/**
	 * Returns what is still to be acknowledged.
	 * @param now time in milliseconds
	 * @return use by organisation
	 */
	public List<OrganisationUse> unacknowledged(long now) {
		List<OrganisationUse> uses = new ArrayList<>();
		this.accounts.forEach((organisation, account) -> {
			account.removeBefore(now - this.windowMillis);
			if (!account.unacknowledged.isEmpty()) {
				uses.add(new OrganisationUse(organisation, account.totalUnits, account.unacknowledgedUnits()));
			}
		});
		return uses;
	}

	/**
	 * Takes in what the owner has acknowledged.
	 * @param states state of the caps
	 * @param now time in milliseconds
	 */
	public void onAcknowledged(List<OrganisationCapState> states, long now) {
		for (OrganisationCapState state : states) {
			Account account = this.accounts.get(state.organisation());
			if (account != null) {
				account.unacknowledged.removeIf((use) -> use.totalAfter() <= state.total());
				account.exhaustedUntil = now + state.exhaustedMillis();
			}
		}
	}

	/**
	 * Use of one organisation. Confined to its owner.
	 */
	private static final class Account {

		final Deque<UnacknowledgedUse> unacknowledged = new ArrayDeque<>();

		long totalUnits;

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
	 * Use that is not acknowledged. Immutable.
	 *
	 * @param at time of the use
	 * @param totalAfter total of the account after it
	 * @param units number of units
	 */
	private record UnacknowledgedUse(long at, long totalAfter, long units) {

	}

}
