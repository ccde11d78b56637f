import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A minimal JSON reader for the bodies that nodes send to the store. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    return new Json(text).value();
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(Object value) {
    return (Map<String, Object>) value;
  }

  @SuppressWarnings("unchecked")
  static List<Object> list(Object value) {
    return value == null ? List.of() : (List<Object>) value;
  }

  private void space() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  private Object value() {
    space();
    char c = text.charAt(at);
    if (c == '{') {
      Map<String, Object> map = new LinkedHashMap<>();
      at++;
      space();
      while (text.charAt(at) != '}') {
        String key = (String) value();
        space();
        at++;
        map.put(key, value());
        space();
        if (text.charAt(at) == ',') {
          at++;
          space();
        }
      }
      at++;
      return map;
    }
    if (c == '[') {
      List<Object> list = new ArrayList<>();
      at++;
      space();
      while (text.charAt(at) != ']') {
        list.add(value());
        space();
        if (text.charAt(at) == ',') {
          at++;
          space();
        }
      }
      at++;
      return list;
    }
    if (c == '"') {
      StringBuilder out = new StringBuilder();
      at++;
      while (text.charAt(at) != '"') {
        if (text.charAt(at) == '\\') {
          at++;
          char e = text.charAt(at);
          if (e == 'u') {
            out.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
            at += 4;
          } else {
            out.append(e == 'n' ? '\n' : e == 't' ? '\t' : e == 'r' ? '\r' : e);
          }
        } else {
          out.append(text.charAt(at));
        }
        at++;
      }
      at++;
      return out.toString();
    }
    int from = at;
    while (at < text.length() && "+-.eE0123456789truefalsn".indexOf(text.charAt(at)) >= 0) {
      at++;
    }
    String word = text.substring(from, at);
    return switch (word) {
      case "true" -> Boolean.TRUE;
      case "false" -> Boolean.FALSE;
      case "null" -> null;
      default -> Double.valueOf(word);
    };
  }
}
