package io.hemlockbend.node.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class SettingsPageTest {

  @Test
  void pageMatchesGeneratedText() throws IOException {
    Path page = Path.of("..", "docs", "SETTINGS.md");
    assertThat(Files.readString(page)).isEqualTo(SettingsPage.text());
  }
}
