package carawayswitch.schedule;

import carawayswitch.config.ConfigurationState;
import carawayswitch.config.EntityKind;
import carawayswitch.config.Organisation;
import carawayswitch.config.Profile;
import carawayswitch.config.QualifiedNames;
import carawayswitch.config.Tier;
import carawayswitch.message.ForwardRequest;

/**
 * Creates {@link Work} from requests and the configuration. Stateless.
 */
public final class WorkFactory {

	private WorkFactory() {
	}

	/**
	 * Returns the urgency of a profile's tier.
	 * @param state the configuration
	 * @param profileName qualified name of the profile
	 * @param profile the profile
	 * @return the urgency, or 0, the lowest, if the tier is not configured
	 */
	public static int urgency(ConfigurationState state, String profileName, Profile profile) {
		String tierName = QualifiedNames.qualify(QualifiedNames.fleet(profileName), profile.tier());
		return state.find(Tier.class, EntityKind.TIER, tierName).map(Tier::urgency).getOrElse(0);
	}

	/**
	 * Creates the work for an attempt.
	 * @param request the attempt's request
	 * @param id id of the attempt
	 * @param state the configuration
	 * @param lengthEstimator estimates the lengths of answers
	 * @param now current time in milliseconds
	 * @return the work, or null if the profile is not configured
	 */
	public static Work create(ForwardRequest request, String id, ConfigurationState state,
			OutputLengthEstimator lengthEstimator, long now) {
		Profile profile = state.find(Profile.class, EntityKind.PROFILE, request.profile()).getOrNull();
		if (profile == null) {
			return null;
		}
		int organisationWeight = state.find(Organisation.class, EntityKind.ORGANISATION, request.organisation())
			.map(Organisation::weight)
			.getOrElse(1);
		String kind = profile.kind().isEmpty() ? request.profile()
				: QualifiedNames.fleet(request.profile()) + '/' + profile.kind();
		int expectedTokens = (request.promptTokens() > 0)
				? lengthEstimator.expectedTokens(request.profile(), request.organisation(), profile.expectedTokens())
				: 0;
		if (request.maxTokens() > 0) {
			expectedTokens = Math.min(expectedTokens, request.maxTokens());
		}
		return new Work(id, urgency(state, request.profile(), profile), kind, profile.weight(), request.organisation(),
				organisationWeight, profile.pressure(), request.promptTokens(), request.prefixHash(),
				request.prefixTokens(), expectedTokens, request.body().length, now, now + request.deadlineMillis());
	}

}
