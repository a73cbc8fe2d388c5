package carawayswitch.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterOutputStream;

import io.vavr.control.Try;

import carawayswitch.message.RelayRecord;

/**
 * Compression of records that hosts relay to each other. Large configurations shrink to a
 * tenth of their size, which low-bandwidth links between hosts need. Stateless.
 */
final class RecordCompression {

	/** Size in bytes below which compression costs more time than it saves. */
	static final int MIN_COMPRESSIBLE_BYTES = 2048;

	private RecordCompression() {
	}

	static RelayRecord compress(String name, byte[] value) {
		if (value.length < MIN_COMPRESSIBLE_BYTES) {
			return new RelayRecord(name, value, false);
		}
		Deflater deflater = new Deflater(Deflater.BEST_SPEED);
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (DeflaterOutputStream output = new DeflaterOutputStream(bytes, deflater)) {
			output.write(value);
		}
		catch (IOException ex) {
			throw new IllegalStateException(
					"cannot compress record " + name + " of " + value.length + " bytes in memory", ex);
		}
		finally {
			deflater.end();
		}
		return new RelayRecord(name, bytes.toByteArray(), true);
	}

	static Try<byte[]> decompress(RelayRecord record) {
		if (!record.deflated()) {
			return Try.success(record.value());
		}
		return Try.of(() -> {
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			try (InflaterOutputStream output = new InflaterOutputStream(bytes)) {
				output.write(record.value());
			}
			return bytes.toByteArray();
		});
	}

}
