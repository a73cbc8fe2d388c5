package carawayswitch.schedule;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Units that were used lately, in slices of time. Invariant: the sum over a window never
 * leaves out use that is younger than the window. Times are milliseconds. Not safe for
 * use by several threads.
 */
public final class SlidingWindowCounter {

	/** Length of a slice in milliseconds; bounds how much too long use is counted. */
	static final long SLICE_MILLIS = 200;

	/** Use of the newest slice and of those before it, in a ring. */
	private final double[] sliceUnits;

	/** Number of the newest slice, counted from time 0. */
	private long newestSlice;

	private double totalUnits;

	/**
	 * Creates a history without use.
	 * @param windowMillis time for which use is remembered in milliseconds
	 * @param now time in milliseconds
	 */
	public SlidingWindowCounter(long windowMillis, long now) {
		this.sliceUnits = new double[(int) (windowMillis / SLICE_MILLIS) + 2];
		this.newestSlice = Math.floorDiv(now, SLICE_MILLIS);
	}

	private int index(long slice) {
		return Math.floorMod(slice, this.sliceUnits.length);
	}

	private void advance(long now) {
		long currentSlice = Math.floorDiv(now, SLICE_MILLIS);
		if (currentSlice - this.newestSlice >= this.sliceUnits.length) {
			Arrays.fill(this.sliceUnits, 0);
			this.totalUnits = 0;
			this.newestSlice = currentSlice;
		}
		while (this.newestSlice < currentSlice) {
			this.newestSlice++;
			this.totalUnits -= this.sliceUnits[index(this.newestSlice)];
			this.sliceUnits[index(this.newestSlice)] = 0;
		}
	}

	/**
	 * Records use.
	 * @param units number of units; negative for use that did not take place
	 * @param now time in milliseconds
	 */
	public void add(double units, long now) {
		addToSlice(units, 0, now);
	}

	/**
	 * Records use of an earlier slice.
	 * @param units number of units
	 * @param age number of slices before the current one
	 * @param now time in milliseconds
	 */
	void addToSlice(double units, int age, long now) {
		advance(now);
		if (age < this.sliceUnits.length) {
			this.sliceUnits[index(this.newestSlice - age)] += units;
			this.totalUnits += units;
		}
	}

	/**
	 * Returns what was used in the window.
	 * @param now time in milliseconds
	 * @return number of units
	 */
	public double totalUnits(long now) {
		advance(now);
		return Math.max(0, this.totalUnits);
	}

	/**
	 * Returns the use of each slice, the newest first.
	 * @param now time in milliseconds
	 * @return units of the slices
	 */
	public List<Long> unitsNewestFirst(long now) {
		advance(now);
		List<Long> units = new ArrayList<>();
		for (int age = 0; age < this.sliceUnits.length; age++) {
			units.add(Math.round(unitsInSlice(age)));
		}
		return units;
	}

	double unitsInSlice(int age) {
		return this.sliceUnits[index(this.newestSlice - age)];
	}

	int sliceCount() {
		return this.sliceUnits.length;
	}

}
