package carawayswitch.codegen;

import java.util.ArrayList;
import java.util.List;

import javax.lang.model.element.Modifier;

import com.fasterxml.jackson.databind.JsonNode;
import com.palantir.javapoet.ClassName;
import com.palantir.javapoet.CodeBlock;
import com.palantir.javapoet.FieldSpec;
import com.palantir.javapoet.JavaFile;
import com.palantir.javapoet.MethodSpec;
import com.palantir.javapoet.ParameterSpec;
import com.palantir.javapoet.ParameterizedTypeName;
import com.palantir.javapoet.TypeName;
import com.palantir.javapoet.TypeSpec;

/**
 * Generates the record of validated settings, the list of setting keys and the example
 * file from the schema. Holds no state between calls.
 */
final class SettingsGenerator {

	private final String packageName;

	private final JsonNode schema;

	SettingsGenerator(JsonNode schema) {
		this.packageName = schema.get("package").asText();
		this.schema = schema;
	}

	JavaFile settingsFile() {
		TypeSpec.Builder type = TypeSpec.recordBuilder("Settings")
			.addJavadoc("Validated settings of a host. Immutable.\n")
			.addModifiers(Modifier.PUBLIC);
		MethodSpec.Builder constructor = MethodSpec.constructorBuilder();
		List<String> sections = new ArrayList<>();
		for (JsonNode section : this.schema.get("sections")) {
			String name = section.get("name").asText();
			ClassName sectionType = ClassName.get(this.packageName, "Settings", capitalize(name));
			constructor.addParameter(ParameterSpec.builder(sectionType, name)
				.addJavadoc("$L\n", section.get("doc").asText())
				.build());
			sections.add(capitalize(name) + ".of(values)");
			type.addType(sectionType(section));
		}
		type.recordConstructor(constructor.build());
		type.addMethod(MethodSpec.methodBuilder("of")
			.addModifiers(Modifier.STATIC)
			.returns(ClassName.get(this.packageName, "Settings"))
			.addParameter(ClassName.get(this.packageName, "SettingValues"), "values")
			.addStatement("return new Settings($L)", String.join(", ", sections))
			.build());
		return javaFile(type.build());
	}

	private TypeSpec sectionType(JsonNode section) {
		String sectionName = section.get("name").asText();
		MethodSpec.Builder constructor = MethodSpec.constructorBuilder();
		List<String> reads = new ArrayList<>();
		for (JsonNode key : section.get("keys")) {
			String name = key.get("name").asText();
			constructor.addParameter(ParameterSpec.builder(javaType(key.get("type").asText()), camelCase(name))
				.addJavadoc("$L\n", key.get("doc").asText())
				.build());
			reads.add("values." + accessorName(key.get("type").asText()) + "(\"" + sectionName + "\", \"" + name
					+ "\")");
		}
		String typeName = capitalize(sectionName);
		return TypeSpec.recordBuilder(typeName)
			.addJavadoc("$L Immutable.\n", section.get("doc").asText())
			.addModifiers(Modifier.PUBLIC)
			.recordConstructor(constructor.build())
			.addMethod(MethodSpec.methodBuilder("of")
				.addModifiers(Modifier.STATIC)
				.returns(ClassName.get(this.packageName, "Settings", typeName))
				.addParameter(ClassName.get(this.packageName, "SettingValues"), "values")
				.addStatement("return new $L($L)", typeName, String.join(",\n", reads))
				.build())
			.build();
	}

	JavaFile keysFile() {
		ClassName keyType = ClassName.get(this.packageName, "SettingKey");
		CodeBlock.Builder list = CodeBlock.builder().add("$T.of(", List.class);
		String separator = "\n";
		for (JsonNode section : this.schema.get("sections")) {
			for (JsonNode key : section.get("keys")) {
				list.add("$Lnew $T($S, $S, $T.$L, $S, $LL, $LL, $S)", separator, keyType, section.get("name").asText(),
						key.get("name").asText(), ClassName.get(this.packageName, "SettingType"),
						key.get("type").asText().toUpperCase(), key.path("default").asText(""),
						key.path("min").asLong(Long.MIN_VALUE + 1), key.path("max").asLong(Long.MAX_VALUE),
						key.get("doc").asText());
				separator = ",\n";
			}
		}
		return javaFile(TypeSpec.classBuilder("SettingKeys")
			.addJavadoc("All keys of the settings file. Immutable.\n")
			.addModifiers(Modifier.FINAL)
			.addMethod(MethodSpec.constructorBuilder().addModifiers(Modifier.PRIVATE).build())
			.addField(FieldSpec
				.builder(ParameterizedTypeName.get(ClassName.get(List.class), keyType), "ALL", Modifier.STATIC,
						Modifier.FINAL)
				.initializer(list.add(")").build())
				.build())
			.build());
	}

	String exampleFile() {
		StringBuilder text = new StringBuilder("# Example settings of a host.\n");
		for (JsonNode section : this.schema.get("sections")) {
			text.append("\n# ").append(section.get("doc").asText()).append("\n[");
			text.append(section.get("name").asText()).append("]\n");
			for (JsonNode key : section.get("keys")) {
				text.append("# ").append(describe(key)).append('\n');
				String value = key.path("default").asText(key.path("example").asText());
				text.append(key.has("default") ? "#" : "").append(key.get("name").asText());
				text.append(" = ").append(value).append('\n');
			}
		}
		return text.toString();
	}

	private static String describe(JsonNode key) {
		String doc = capitalize(key.get("doc").asText()) + " (" + key.get("type").asText();
		return doc + (key.has("default") ? "; default " + key.get("default").asText() : "; required") + ").";
	}

	private JavaFile javaFile(TypeSpec type) {
		return JavaFile.builder(this.packageName, type)
			.addFileComment("Generated from the schema; do not edit.")
			.indent("\t")
			.skipJavaLangImports(true)
			.build();
	}

	private static TypeName javaType(String type) {
		return switch (type) {
			case "int" -> TypeName.INT;
			case "bytes" -> TypeName.INT;
			case "double" -> TypeName.DOUBLE;
			case "boolean" -> TypeName.BOOLEAN;
			case "duration" -> ClassName.get("java.time", "Duration");
			case "address" -> ClassName.get("java.net", "InetSocketAddress");
			case "url" -> ClassName.get("java.net", "URI");
			default -> ClassName.get(String.class);
		};
	}

	private static String accessorName(String type) {
		return switch (type) {
			case "int", "double", "boolean", "duration", "bytes", "address", "url" -> type + "Value";
			default -> "stringValue";
		};
	}

	private static String camelCase(String name) {
		StringBuilder result = new StringBuilder();
		for (String part : name.split("_")) {
			result.append(result.isEmpty() ? part : capitalize(part));
		}
		return result.toString();
	}

	private static String capitalize(String text) {
		return Character.toUpperCase(text.charAt(0)) + text.substring(1);
	}

}
