package carawayswitch.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;
import io.vavr.control.Either;
import io.vavr.control.Option;

import carawayswitch.message.ConfigurationChange;
import carawayswitch.message.ConfigurationSnapshot;
import carawayswitch.message.EntityState;
import carawayswitch.message.GuardAssignment;
import carawayswitch.message.Message;
import carawayswitch.message.MessageCodec;

/**
 * Configuration up to an offset of the log. The state depends only on the log: hosts that
 * apply the same records hold equal states. Records that are malformed or unknown advance
 * the offset and change nothing else. Immutable and thread-safe.
 *
 * <pre>
 * ConfigurationState state = ConfigurationState.EMPTY.apply(0, payload);
 * Option&lt;Profile&gt; profile = state.find(Profile.class, EntityKind.PROFILE, "north/report");
 * </pre>
 */
public final class ConfigurationState {

	/** The state before the first record. */
	public static final ConfigurationState EMPTY = new ConfigurationState(-1, TreeMap.empty(), LinkedHashMap.empty(),
			TreeMap.empty());

	/** Maximum number of assignments that are kept for each region. */
	static final int MAX_ASSIGNMENTS_PER_REGION = 16;

	private static final int MAX_VERDICTS = 4096;

	private final long offset;

	private final TreeMap<String, VersionedEntity> entities;

	private final LinkedHashMap<String, ChangeVerdict> verdicts;

	private final TreeMap<String, List<GuardAssignment>> assignments;

	private ConfigurationState(long offset, TreeMap<String, VersionedEntity> entities,
			LinkedHashMap<String, ChangeVerdict> verdicts, TreeMap<String, List<GuardAssignment>> assignments) {
		this.offset = offset;
		this.entities = entities;
		this.verdicts = verdicts;
		this.assignments = assignments;
	}

	/**
	 * Applies one record of the log.
	 * @param recordOffset offset of the record
	 * @param payload the encoded record
	 * @return the state after the record; this state if the offset was applied before
	 */
	public ConfigurationState apply(long recordOffset, byte[] payload) {
		if (recordOffset <= this.offset) {
			return this;
		}
		Message message = MessageCodec.decode(payload).toOption().flatMap((decoded) -> decoded).getOrNull();
		if (message instanceof ConfigurationChange change) {
			return applyChange(recordOffset, change);
		}
		if (message instanceof GuardAssignment assignment) {
			return applyAssignment(recordOffset, assignment);
		}
		return withOffset(recordOffset);
	}

	private ConfigurationState withOffset(long newOffset) {
		return new ConfigurationState(newOffset, this.entities, this.verdicts, this.assignments);
	}

	private ConfigurationState applyChange(long recordOffset, ConfigurationChange change) {
		if (this.verdicts.containsKey(change.changeId())) {
			return withOffset(recordOffset);
		}
		String key = key(change.kind(), change.name());
		VersionedEntity current = this.entities.get(key).getOrElse(new VersionedEntity(0, null));
		if (current.revision() != change.baseRevision()) {
			String reason = "revision is " + current.revision() + ", the change is based on " + change.baseRevision();
			return withVerdict(recordOffset, change,
					new ChangeVerdict(ChangeVerdict.Kind.CONFLICT, current.revision(), reason));
		}
		Either<String, Entity> parsed = parse(change);
		if (parsed.isLeft()) {
			return withVerdict(recordOffset, change,
					new ChangeVerdict(ChangeVerdict.Kind.INVALID, current.revision(), parsed.getLeft()));
		}
		VersionedEntity updated = new VersionedEntity(recordOffset + 1, parsed.get());
		ConfigurationState accepted = withVerdict(recordOffset, change,
				new ChangeVerdict(ChangeVerdict.Kind.ACCEPTED, updated.revision(), ""));
		return new ConfigurationState(recordOffset, this.entities.put(key, updated), accepted.verdicts,
				this.assignments);
	}

	private Either<String, Entity> parse(ConfigurationChange change) {
		Option<EntityKind> kind = EntityKind.ofLabel(change.kind());
		if (kind.isEmpty()) {
			return Either.left("kind \"" + change.kind() + "\" is not known; valid: " + labels());
		}
		return change.deleted() ? Either.right(null) : kind.get().parse(change.name(), change.body());
	}

	private static List<String> labels() {
		List<String> labels = new ArrayList<>();
		for (EntityKind kind : EntityKind.values()) {
			labels.add(kind.label());
		}
		return labels;
	}

	private ConfigurationState withVerdict(long recordOffset, ConfigurationChange change, ChangeVerdict verdict) {
		LinkedHashMap<String, ChangeVerdict> retained = this.verdicts.put(change.changeId(), verdict);
		if (retained.size() > MAX_VERDICTS) {
			retained = retained.tail();
		}
		return new ConfigurationState(recordOffset, this.entities, retained, this.assignments);
	}

	private ConfigurationState applyAssignment(long recordOffset, GuardAssignment assignment) {
		List<GuardAssignment> existing = assignments(assignment.region());
		long currentEpoch = currentAssignment(assignment.region()).map(GuardAssignment::epoch).getOrElse(0L);
		if (assignment.epoch() != currentEpoch + 1 || assignment.members().isEmpty()) {
			return withOffset(recordOffset);
		}
		List<GuardAssignment> updated = new ArrayList<>(existing);
		updated.add(assignment);
		if (updated.size() > MAX_ASSIGNMENTS_PER_REGION) {
			updated.remove(0);
		}
		return new ConfigurationState(recordOffset, this.entities, this.verdicts,
				this.assignments.put(assignment.region(), List.copyOf(updated)));
	}

	/**
	 * Returns the offset of the last applied record.
	 * @return the offset, or -1 before the first record
	 */
	public long offset() {
		return this.offset;
	}

	/**
	 * Returns the kept assignments of a region.
	 * @param region the region
	 * @return the assignments, oldest first; the last one is active
	 */
	public List<GuardAssignment> assignments(String region) {
		return this.assignments.get(region).getOrElse(List.of());
	}

	/**
	 * Returns the active assignment of a region.
	 * @param region the region
	 * @return the newest assignment, or nothing if the region has none
	 */
	public Option<GuardAssignment> currentAssignment(String region) {
		List<GuardAssignment> regionAssignments = assignments(region);
		return regionAssignments.isEmpty() ? Option.none()
				: Option.of(regionAssignments.get(regionAssignments.size() - 1));
	}

	/**
	 * Returns the verdict on a change.
	 * @param changeId id of the change
	 * @return the verdict, or nothing if the change was not applied or its verdict is no
	 * longer kept
	 */
	public Option<ChangeVerdict> verdict(String changeId) {
		return this.verdicts.get(changeId);
	}

	/**
	 * Returns the revision of an entity.
	 * @param kind kind of the entity
	 * @param name qualified name of the entity
	 * @return the revision, or 0 if the entity never existed
	 */
	public long revision(EntityKind kind, String name) {
		return this.entities.get(key(kind.label(), name)).map(VersionedEntity::revision).getOrElse(0L);
	}

	/**
	 * Finds an entity.
	 * @param <T> type of the entity
	 * @param type type of the entity
	 * @param kind kind of the entity
	 * @param name qualified name of the entity
	 * @return the entity, or nothing if it does not exist
	 */
	public <T extends Entity> Option<T> find(Class<T> type, EntityKind kind, String name) {
		return this.entities.get(key(kind.label(), name))
			.map(VersionedEntity::entity)
			.filter(type::isInstance)
			.map(type::cast);
	}

	/**
	 * Returns all entities of a kind.
	 * @param <T> type of the entities
	 * @param type type of the entities
	 * @param kind kind of the entities
	 * @return entities by qualified name, sorted by name
	 */
	public <T extends Entity> Map<String, T> all(Class<T> type, EntityKind kind) {
		String prefix = key(kind.label(), "");
		return this.entities.filter((key, value) -> key.startsWith(prefix) && value.entity() != null)
			.map((key, value) -> new io.vavr.Tuple2<>(key.substring(prefix.length()), type.cast(value.entity())));
	}

	/**
	 * Returns the complete state as a record of the log.
	 * @return the snapshot
	 */
	public ConfigurationSnapshot snapshot() {
		List<EntityState> states = new ArrayList<>();
		this.entities.forEach((key, versioned) -> {
			int separator = key.indexOf(':');
			String body = (versioned.entity() != null) ? EntityKind.toJson(versioned.entity()) : "";
			states.add(new EntityState(key.substring(0, separator), key.substring(separator + 1), versioned.revision(),
					body));
		});
		List<GuardAssignment> allAssignments = new ArrayList<>();
		this.assignments.values().forEach(allAssignments::addAll);
		List<String> verdictLines = new ArrayList<>();
		this.verdicts.forEach((id, verdict) -> verdictLines
			.add(id + " " + verdict.kind() + " " + verdict.revision() + " " + verdict.reason()));
		return new ConfigurationSnapshot(this.offset, states, allAssignments, verdictLines);
	}

	/**
	 * Restores a state from a snapshot.
	 * @param snapshot a snapshot that {@link #snapshot()} returned
	 * @return a state equal to the one that the snapshot was taken of
	 */
	public static ConfigurationState restore(ConfigurationSnapshot snapshot) {
		TreeMap<String, VersionedEntity> entities = TreeMap.empty();
		for (EntityState state : snapshot.entities()) {
			Entity entity = state.body().isEmpty() ? null
					: EntityKind.ofLabel(state.kind())
						.flatMap((kind) -> kind.parse(state.name(), state.body()).toOption())
						.getOrNull();
			entities = entities.put(key(state.kind(), state.name()), new VersionedEntity(state.revision(), entity));
		}
		TreeMap<String, List<GuardAssignment>> assignments = TreeMap.empty();
		for (GuardAssignment assignment : snapshot.assignments()) {
			List<GuardAssignment> regionAssignments = new ArrayList<>(
					assignments.get(assignment.region()).getOrElse(List.of()));
			regionAssignments.add(assignment);
			assignments = assignments.put(assignment.region(), List.copyOf(regionAssignments));
		}
		LinkedHashMap<String, ChangeVerdict> verdicts = LinkedHashMap.empty();
		for (String line : snapshot.recentChanges()) {
			String[] parts = line.split(" ", 4);
			verdicts = verdicts.put(parts[0],
					new ChangeVerdict(ChangeVerdict.Kind.valueOf(parts[1]), Long.parseLong(parts[2]), parts[3]));
		}
		return new ConfigurationState(snapshot.offset(), entities, verdicts, assignments);
	}

	private static String key(String kind, String name) {
		return kind + ":" + name;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof ConfigurationState state && this.offset == state.offset
				&& this.entities.equals(state.entities) && this.verdicts.equals(state.verdicts)
				&& this.assignments.equals(state.assignments);
	}

	@Override
	public int hashCode() {
		return Objects.hash(this.offset, this.entities);
	}

}
