package carawayswitch.measure;

/**
 * Speed and limits of a fake engine. A step produces a token for each running answer.
 * Immutable.
 *
 * @param stepMillis time of a step without work in milliseconds
 * @param millisPerSequence additional time of a step for each running answer
 * @param millisPerPromptToken additional time of a step for each processed prompt token
 * @param promptTokensPerStep most prompt tokens that are processed in a step
 * @param maxRunning most answers that run at once
 * @param kvTokens capacity of the KV cache in tokens
 */
record EngineModel(double stepMillis, double millisPerSequence, double millisPerPromptToken, int promptTokensPerStep,
		int maxRunning, int kvTokens) {

	/** Newest generation. */
	static final EngineModel NEW = new EngineModel(12, 0.5, 0.04, 512, 48, 60_000);

	/** Middle generation. */
	static final EngineModel MIDDLE = new EngineModel(20, 0.8, 0.08, 384, 32, 40_000);

	/** Oldest generation. */
	static final EngineModel OLD = new EngineModel(30, 1.5, 0.15, 256, 20, 24_000);

	/**
	 * Returns the engine time that an answer costs when the engine is full.
	 * @param promptTokens length of the prompt in tokens
	 * @param outputTokens length of the answer in tokens
	 * @return time in milliseconds
	 */
	double costMillis(double promptTokens, double outputTokens) {
		double fullStepMillis = this.stepMillis + this.maxRunning * this.millisPerSequence;
		return outputTokens * fullStepMillis / this.maxRunning + promptTokens * this.millisPerPromptToken;
	}

}
