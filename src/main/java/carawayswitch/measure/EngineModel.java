package carawayswitch.measure;

/**
 * Cost model and limits of a simulated engine with continuous batching. A step generates
 * one token for each running answer whose prompt is processed. Immutable.
 *
 * @param stepMillis base time of a step in milliseconds
 * @param millisPerSequence additional time of a step for each running answer in
 * milliseconds
 * @param millisPerPromptToken additional time of a step for each processed prompt token
 * in milliseconds
 * @param promptTokensPerStep maximum number of prompt tokens processed in a step
 * @param maxRunning maximum number of answers in a batch
 * @param kvTokens capacity of the KV cache in tokens
 */
record EngineModel(double stepMillis, double millisPerSequence, double millisPerPromptToken, int promptTokensPerStep,
		int maxRunning, int kvTokens) {

	/** Engine of the newest hardware generation. */
	static final EngineModel NEW = new EngineModel(12, 0.5, 0.04, 512, 48, 60_000);

	/** Engine of the middle hardware generation. */
	static final EngineModel MIDDLE = new EngineModel(20, 0.8, 0.08, 384, 32, 40_000);

	/** Engine of the oldest hardware generation. */
	static final EngineModel OLD = new EngineModel(30, 1.5, 0.15, 256, 20, 24_000);

	/**
	 * Returns the engine time attributed to one answer when the batch is full.
	 * @param promptTokens length of the prompt in tokens
	 * @param outputTokens length of the answer in tokens
	 * @return time in milliseconds
	 */
	double costMillis(double promptTokens, double outputTokens) {
		double fullStepMillis = this.stepMillis + this.maxRunning * this.millisPerSequence;
		return outputTokens * fullStepMillis / this.maxRunning + promptTokens * this.millisPerPromptToken;
	}

}
