package carawayswitch.config;

import java.util.List;

import io.vavr.control.Either;

import carawayswitch.outcome.ErrorKind;

/**
 * Resolves names of entities of both fleets. A qualified name {@code fleet/name} resolves
 * to itself. A bare name resolves to the entity of the caller's own fleet. For a caller
 * without a fleet, a bare name must exist in one fleet only. Stateless.
 */
public final class QualifiedNames {

	private static final char SEPARATOR = '/';

	private QualifiedNames() {
	}

	/**
	 * Returns the fleet of a qualified name.
	 * @param qualified the qualified name
	 * @return the fleet, or empty if the name is not qualified
	 */
	public static String fleet(String qualified) {
		int separator = qualified.indexOf(SEPARATOR);
		return (separator < 0) ? "" : qualified.substring(0, separator);
	}

	/**
	 * Prefixes a name with a fleet, unless it is qualified already.
	 * @param fleet the fleet
	 * @param name the name
	 * @return the qualified name
	 */
	public static String qualify(String fleet, String name) {
		return (name.indexOf(SEPARATOR) >= 0) ? name : fleet + SEPARATOR + name;
	}

	/**
	 * Resolves a name against the qualified names of the existing entities.
	 * @param name the qualified or bare name
	 * @param fleet fleet of the caller, or empty
	 * @param known qualified names of the existing entities
	 * @param notFoundKind kind of the error if no entity has the name
	 * @return the qualified name, or the error
	 */
	public static Either<UnresolvedName, String> resolve(String name, String fleet, Iterable<String> known,
			ErrorKind notFoundKind) {
		List<String> knownNames = io.vavr.collection.List.ofAll(known).asJava();
		if (knownNames.contains(name)) {
			return Either.right(name);
		}
		String ownFleetName = fleet + SEPARATOR + name;
		if (!fleet.isEmpty() && knownNames.contains(ownFleetName)) {
			return Either.right(ownFleetName);
		}
		List<String> candidates = knownNames.stream().filter((other) -> other.endsWith(SEPARATOR + name)).toList();
		if (candidates.size() == 1 && fleet.isEmpty()) {
			return Either.right(candidates.get(0));
		}
		if (candidates.isEmpty()) {
			return Either.left(new UnresolvedName(notFoundKind, name, knownNames.stream().limit(20).toList()));
		}
		return Either.left(new UnresolvedName(ErrorKind.AMBIGUOUS_NAME, name, candidates));
	}

	/**
	 * A name that could not be resolved. Immutable.
	 *
	 * @param kind kind of the error
	 * @param name the qualified or bare name
	 * @param candidates qualified names that the caller may have meant
	 */
	public record UnresolvedName(ErrorKind kind, String name, List<String> candidates) {

		/**
		 * Returns the error message.
		 * @return the message with the name and the valid names
		 */
		public String message() {
			return "\"" + this.name + "\": " + this.kind.message() + "; valid: " + this.candidates;
		}

	}

}
