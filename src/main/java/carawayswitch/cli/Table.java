package carawayswitch.cli;

import java.util.ArrayList;
import java.util.List;

/**
 * Plain-text table with left-aligned columns. Each row has as many cells as the header.
 * Not safe for use by several threads.
 */
final class Table {

	private final List<List<String>> rows = new ArrayList<>();

	Table(String... header) {
		this.rows.add(List.of(header));
	}

	void addRow(String... cells) {
		this.rows.add(List.of(cells));
	}

	@Override
	public String toString() {
		int columns = this.rows.get(0).size();
		int[] widths = new int[columns];
		for (List<String> row : this.rows) {
			for (int i = 0; i < columns; i++) {
				widths[i] = Math.max(widths[i], row.get(i).length());
			}
		}
		StringBuilder text = new StringBuilder();
		for (List<String> row : this.rows) {
			StringBuilder line = new StringBuilder();
			for (int i = 0; i < columns; i++) {
				line.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length() + 2));
			}
			text.append(line.toString().stripTrailing()).append('\n');
		}
		return text.toString();
	}

}
