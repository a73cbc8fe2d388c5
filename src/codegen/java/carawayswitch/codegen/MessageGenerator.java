package carawayswitch.codegen;

import java.util.ArrayList;
import java.util.List;

import javax.lang.model.element.Modifier;

import com.fasterxml.jackson.databind.JsonNode;
import com.palantir.javapoet.ArrayTypeName;
import com.palantir.javapoet.ClassName;
import com.palantir.javapoet.CodeBlock;
import com.palantir.javapoet.JavaFile;
import com.palantir.javapoet.MethodSpec;
import com.palantir.javapoet.ParameterSpec;
import com.palantir.javapoet.ParameterizedTypeName;
import com.palantir.javapoet.TypeName;
import com.palantir.javapoet.TypeSpec;

/**
 * Generates a Java record with its MessagePack codec for each message of the schema, and
 * the table of readers by message id. Holds no state between calls.
 */
final class MessageGenerator {

	private static final String LIST_PREFIX = "list:";

	private static final ClassName PACKER = ClassName.get("org.msgpack.core", "MessagePacker");

	private static final ClassName UNPACKER = ClassName.get("org.msgpack.core", "MessageUnpacker");

	private static final ClassName IO_EXCEPTION = ClassName.get("java.io", "IOException");

	private final String packageName;

	private final JsonNode messages;

	MessageGenerator(JsonNode schema) {
		this.packageName = schema.get("package").asText();
		this.messages = schema.get("messages");
	}

	List<JavaFile> files() {
		List<JavaFile> files = new ArrayList<>();
		for (JsonNode message : this.messages) {
			files.add(javaFile(recordType(message)));
		}
		files.add(javaFile(readerTable()));
		return files;
	}

	private JavaFile javaFile(TypeSpec type) {
		return JavaFile.builder(this.packageName, type)
			.addFileComment("Generated from the schema; do not edit.")
			.indent("\t")
			.skipJavaLangImports(true)
			.build();
	}

	private TypeSpec recordType(JsonNode message) {
		TypeSpec.Builder type = TypeSpec.recordBuilder(message.get("name").asText()).addModifiers(Modifier.PUBLIC);
		type.addJavadoc("$L Immutable.\n", message.get("doc").asText());
		MethodSpec.Builder constructor = MethodSpec.constructorBuilder();
		for (JsonNode field : message.get("fields")) {
			String name = field.get("name").asText();
			constructor
				.addParameter(ParameterSpec.builder(javaType(field.get("type").asText()), name)
					.addJavadoc("$L\n", field.get("doc").asText())
					.build());
		}
		type.recordConstructor(constructor.build());
		if (message.has("id")) {
			type.addSuperinterface(ClassName.get(this.packageName, "Message"));
			type.addMethod(messageIdMethod(message));
		}
		type.addMethod(writeMethod(message));
		type.addMethod(readMethod(message));
		return type.build();
	}

	private MethodSpec messageIdMethod(JsonNode message) {
		return MethodSpec.methodBuilder("messageId")
			.addAnnotation(Override.class)
			.addModifiers(Modifier.PUBLIC)
			.returns(int.class)
			.addStatement("return $L", message.get("id").asInt())
			.build();
	}

	private MethodSpec writeMethod(JsonNode message) {
		MethodSpec.Builder method = MethodSpec.methodBuilder("writeTo")
			.addModifiers(Modifier.PUBLIC)
			.addParameter(PACKER, "packer")
			.addException(IO_EXCEPTION);
		if (message.has("id")) {
			method.addAnnotation(Override.class);
		}
		else {
			method.addJavadoc("Writes the fields as a MessagePack map from tag to value.\n");
			method.addJavadoc("@param packer the packer to write to\n@throws IOException if the packer cannot write\n");
		}
		method.addStatement("packer.packMapHeader($L)", message.get("fields").size());
		for (JsonNode field : message.get("fields")) {
			method.addStatement("packer.packInt($L)", field.get("tag").asInt());
			method.addCode(writeCode(field.get("type").asText(), "this." + field.get("name").asText()));
		}
		return method.build();
	}

	private CodeBlock writeCode(String type, String value) {
		if (type.startsWith(LIST_PREFIX)) {
			String element = type.substring(LIST_PREFIX.length());
			return CodeBlock.builder()
				.addStatement("packer.packArrayHeader($L.size())", value)
				.beginControlFlow("for ($T element : $L)", javaType(element), value)
				.add(writeCode(element, "element"))
				.endControlFlow()
				.build();
		}
		return switch (type) {
			case "string" -> CodeBlock.of("packer.packString($L);\n", value);
			case "int" -> CodeBlock.of("packer.packInt($L);\n", value);
			case "long" -> CodeBlock.of("packer.packLong($L);\n", value);
			case "double" -> CodeBlock.of("packer.packDouble($L);\n", value);
			case "boolean" -> CodeBlock.of("packer.packBoolean($L);\n", value);
			case "bytes" -> CodeBlock.of("packer.packBinaryHeader($L.length);\npacker.writePayload($L);\n", value, value);
			default -> CodeBlock.builder()
				.beginControlFlow("if ($L == null)", value)
				.addStatement("packer.packNil()")
				.nextControlFlow("else")
				.addStatement("$L.writeTo(packer)", value)
				.endControlFlow()
				.build();
		};
	}

	private MethodSpec readMethod(JsonNode message) {
		ClassName recordName = ClassName.get(this.packageName, message.get("name").asText());
		MethodSpec.Builder method = MethodSpec.methodBuilder("read")
			.addJavadoc("Reads the fields and skips unknown tags. A missing field is zero, empty or null.\n")
			.addJavadoc("@param unpacker the unpacker to read from\n@return the message\n")
			.addJavadoc("@throws IOException if the input is malformed\n")
			.addModifiers(Modifier.PUBLIC, Modifier.STATIC)
			.returns(recordName)
			.addParameter(UNPACKER, "unpacker")
			.addException(IO_EXCEPTION);
		List<String> names = new ArrayList<>();
		for (JsonNode field : message.get("fields")) {
			String type = field.get("type").asText();
			names.add(field.get("name").asText());
			method.addStatement("$T $L = $L", javaType(type), field.get("name").asText(), initialValue(type));
		}
		method.addStatement("int count = unpacker.unpackMapHeader()");
		method.beginControlFlow("for (int i = 0; i < count; i++)");
		method.addStatement("int tag = unpacker.unpackInt()");
		method.beginControlFlow("switch (tag)");
		for (JsonNode field : message.get("fields")) {
			String type = field.get("type").asText();
			method.addStatement("case $L -> $L = $L", field.get("tag").asInt(), field.get("name").asText(),
					readCode(type));
		}
		method.addStatement("default -> unpacker.skipValue()");
		method.endControlFlow();
		method.endControlFlow();
		method.addStatement("return new $T($L)", recordName, String.join(", ", names));
		return method.build();
	}

	private CodeBlock readCode(String type) {
		ClassName fieldReader = ClassName.get(this.packageName, "FieldReader");
		if (type.startsWith(LIST_PREFIX)) {
			String element = type.substring(LIST_PREFIX.length());
			return CodeBlock.of("$T.list(unpacker, (source) -> $L)", fieldReader,
					readCode(element).toString().replace("unpacker", "source").replace(this.packageName + ".", ""));
		}
		return switch (type) {
			case "string" -> CodeBlock.of("unpacker.unpackString()");
			case "int" -> CodeBlock.of("unpacker.unpackInt()");
			case "long" -> CodeBlock.of("unpacker.unpackLong()");
			case "double" -> CodeBlock.of("unpacker.unpackDouble()");
			case "boolean" -> CodeBlock.of("unpacker.unpackBoolean()");
			case "bytes" -> CodeBlock.of("$T.bytes(unpacker)", fieldReader);
			default -> CodeBlock.of("$T.nullable(unpacker, $L::read)", fieldReader, type);
		};
	}

	private static String initialValue(String type) {
		if (type.startsWith(LIST_PREFIX)) {
			return "java.util.List.of()";
		}
		return switch (type) {
			case "string" -> "\"\"";
			case "int", "long", "double" -> "0";
			case "boolean" -> "false";
			case "bytes" -> "new byte[0]";
			default -> "null";
		};
	}

	private TypeName javaType(String type) {
		if (type.startsWith(LIST_PREFIX)) {
			TypeName element = javaType(type.substring(LIST_PREFIX.length())).box();
			return ParameterizedTypeName.get(ClassName.get(List.class), element);
		}
		return switch (type) {
			case "string" -> ClassName.get(String.class);
			case "int" -> TypeName.INT;
			case "long" -> TypeName.LONG;
			case "double" -> TypeName.DOUBLE;
			case "boolean" -> TypeName.BOOLEAN;
			case "bytes" -> ArrayTypeName.of(TypeName.BYTE);
			default -> ClassName.get(this.packageName, type);
		};
	}

	private TypeSpec readerTable() {
		MethodSpec.Builder method = MethodSpec.methodBuilder("read")
			.addJavadoc("Reads the fields of the message with the given id.\n")
			.addJavadoc("@param id id of the message\n@param unpacker the source\n")
			.addJavadoc("@return the message, or null if the id is unknown\n@throws IOException if the source is malformed\n")
			.addModifiers(Modifier.STATIC)
			.returns(ClassName.get(this.packageName, "Message"))
			.addParameter(int.class, "id")
			.addParameter(UNPACKER, "unpacker")
			.addException(IO_EXCEPTION)
			.beginControlFlow("return switch (id)");
		for (JsonNode message : this.messages) {
			if (message.has("id")) {
				method.addStatement("case $L -> $L.read(unpacker)", message.get("id").asInt(),
						message.get("name").asText());
			}
		}
		method.addStatement("default -> null").addCode("$<};\n");
		return TypeSpec.classBuilder("MessageReaders")
			.addJavadoc("Table of message readers by message id. Stateless.\n")
			.addModifiers(Modifier.FINAL)
			.addMethod(MethodSpec.constructorBuilder().addModifiers(Modifier.PRIVATE).build())
			.addMethod(method.build())
			.build();
	}

}
