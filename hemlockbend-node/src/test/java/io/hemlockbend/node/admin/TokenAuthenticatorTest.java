package io.hemlockbend.node.admin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TokenAuthenticatorTest {
  private static final String SECRET_SHA256 =
      "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

  private final TokenAuthenticator authenticator =
      TokenAuthenticator.of("sha256:" + SECRET_SHA256 + "=reader:*, a=b=operator:tableaux:amel");

  @Test
  void tokensAreAuthenticatedByHash() {
    Operator reader = authenticator.authenticate("Bearer secret").orElseThrow();
    assertThat(reader.role()).isEqualTo(Role.READER);
    assertThat(reader.author().ownsAll()).isTrue();
    assertThat(reader.author().name()).isEqualTo("platform-2bb80d53");
    Operator amel = authenticator.authenticate("bearer a=b").orElseThrow();
    assertThat(amel.author().name()).isEqualTo("amel");
    assertThat(amel.author().ownsAll()).isFalse();
  }

  @Test
  void hashAndOtherSchemesAreRejected() {
    assertThat(authenticator.authenticate("Bearer sha256:" + SECRET_SHA256)).isEmpty();
    assertThat(authenticator.authenticate("Basic secret")).isEmpty();
    assertThat(authenticator.authenticate(null)).isEmpty();
    assertThat(TokenAuthenticator.of("").authenticate("Bearer ")).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(strings = {"hidden", "hidden=admin:t", "hidden=reader", "hidden=reader:t:n:x"})
  void errorNamesMalformedEntryWithoutItsToken(String entry) {
    assertThatThrownBy(() -> TokenAuthenticator.of("x=reader:t," + entry))
        .hasMessageContaining("token 2")
        .hasMessageNotContaining("hidden");
  }
}
