package carawayswitch.schedule;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Sliding-window counter of used units, with one bucket per time slice. Invariant: the
 * total includes all use that is younger than the window. Times are milliseconds. Not
 * safe for use by several threads.
 */
public final class SlidingWindowCounter {

	/**
	 * Length of a slice in milliseconds. Use is counted for up to two slices longer than
	 * the window.
	 */
	static final long SLICE_MILLIS = 200;

	/** Units used in each slice, as a ring buffer. */
	private final double[] sliceUnits;

	/** Index of the newest slice, counted from time 0. */
	private long newestSlice;

	private double totalUnits;

	/**
	 * Creates a counter without recorded use.
	 * @param windowMillis length of the window in milliseconds
	 * @param now time in milliseconds
	 */
	public SlidingWindowCounter(long windowMillis, long now) {
		this.sliceUnits = new double[(int) (windowMillis / SLICE_MILLIS) + 2];
		this.newestSlice = Math.floorDiv(now, SLICE_MILLIS);
	}

	private int index(long slice) {
		return Math.floorMod(slice, this.sliceUnits.length);
	}

	// Moves the window to the given time and clears the slices that leave it.
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
	 * Records use in the current slice.
	 * @param units number of units; negative to take back recorded use
	 * @param now time in milliseconds
	 */
	public void add(double units, long now) {
		addToSlice(units, 0, now);
	}

	/**
	 * Adds units to the slice of an earlier time. Ignored if that slice has left the
	 * window.
	 * @param units number of units; negative to take some back
	 * @param at the earlier time in milliseconds
	 * @param now time in milliseconds
	 */
	public void addAt(double units, long at, long now) {
		long age = Math.floorDiv(now, SLICE_MILLIS) - Math.floorDiv(at, SLICE_MILLIS);
		addToSlice(units, (int) Math.min(age, this.sliceUnits.length), now);
	}

	/**
	 * Records use in an earlier slice; ignored if the slice has left the window.
	 * @param units number of units; negative to take back recorded use
	 * @param age age of the slice in slices; 0 is the current slice
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
	 * Returns the units that were used in the window.
	 * @param now time in milliseconds
	 * @return number of units; never negative
	 */
	public double totalUnits(long now) {
		advance(now);
		return Math.max(0, this.totalUnits);
	}

	/**
	 * Returns the units that were used in each slice, the newest first.
	 * @param now time in milliseconds
	 * @return rounded number of units of each slice
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
