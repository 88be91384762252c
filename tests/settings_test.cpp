/**
 * @file settings_test.cpp
 * @brief Parsing and validation of settings files.
 */
#include "error_type.h"
#include "settings_func.h"

#include <doctest/doctest.h>
#include <string>

using namespace Burdockfield;

namespace {

/// Valid settings of an entry. Test cases add a line or replace one.
struct SettingsFixture
{
    std::string text_ = "role: entry\n"
                        "name: e\n"
                        "region: r\n"
                        "zone: z\n"
                        "listen: 127.0.0.1:8080\n"
                        "control: 127.0.0.1:8081\n"
                        "platform: 127.0.0.1:9000\n"; ///< Content of the settings file.
    Settings settings_; ///< Result of parse().

    SettingsError parse()
    {
        return parseSettings(text_, "e.yaml", settings_);
    }

    void replace(const std::string &from, const std::string &to)
    {
        text_.replace(text_.find(from), from.size(), to);
    }
};

} // namespace

TEST_CASE_FIXTURE(SettingsFixture, "Settings_WhenValid_AreAccepted")
{
    text_ += "limits: { header: 8KiB, body: 1MiB, read_timeout: 5s }\npolicy: { preset: baseline, subset_size: 3 }\n";
    CHECK(!parse().error_);
    CHECK(settings_.limits_.bodyBytes_ == 1048576);
    CHECK(settings_.limits_.readTimeout_ == Milliseconds(5000));
    CHECK(settings_.entryPolicy_.routing_ == RoutingRule::RoundRobin);
    CHECK(settings_.entryPolicy_.subsetSize_ == 3);
}

TEST_CASE_FIXTURE(SettingsFixture, "Settings_WhenAKeyIsUnknown_ReportFileLineKeyAndAcceptedKeys")
{
    text_ += "colour: red\n";
    const SettingsError error = parse();
    CHECK(error.error_ == SettingsErrc::UnknownKey);
    CHECK(error.line_ == 8);
    CHECK(describe(error).find("e.yaml:8: unknown-key: colour (accepted: role, name") == 0);
}

TEST_CASE_FIXTURE(SettingsFixture, "Settings_WhenAUnitIsUnknown_AreRejected")
{
    text_ += "limits:\n  read_timeout: 5 parsecs\n";
    const SettingsError error = parse();
    CHECK(error.error_ == SettingsErrc::WrongUnit);
    CHECK(error.key_ == "limits.read_timeout");
    CHECK(error.line_ == 9);
}

TEST_CASE_FIXTURE(SettingsFixture, "Settings_WhenARequiredKeyIsMissing_AreRejected")
{
    replace("region: r\n", "");
    CHECK(parse().error_ == SettingsErrc::MissingKey);
    CHECK(parse().key_ == "region");
}

TEST_CASE_FIXTURE(SettingsFixture, "Settings_WhenAnAddressIsMalformed_AreRejected")
{
    replace("127.0.0.1:8081", "localhost:8081");
    CHECK(parse().error_ == SettingsErrc::BadAddress);
    CHECK(parse().line_ == 6);
}

TEST_CASE_FIXTURE(SettingsFixture, "Settings_WhenMalformedOrUnreadable_AreRejected")
{
    text_ += "a: [\n";
    CHECK(parse().error_ == SettingsErrc::MalformedYaml);
    CHECK(loadSettings("/nonexistent/e.yaml", settings_).error_ == SettingsErrc::CannotRead);
}

TEST_CASE_FIXTURE(SettingsFixture, "GatewaySettings_WhenTheyGiveBounds_HaveThem")
{
    text_ = "role: gateway\nname: g\nregion: r\nzone: z\nlisten: 127.0.0.1:1\nready: 127.0.0.1:2\npeer: 127.0.0.1:3\n"
            "metrics: 127.0.0.1:4\nplatform: 127.0.0.1:5\n"
            "bounds: { configuration_delay: 4000ms, drain_delay: 3s, grace: 5s, exposure_share: 0.2 }\n";
    REQUIRE_FALSE(parse().error_);
    CHECK(settings_.gateway_.bounds_.configurationDelay_ == Milliseconds(4000));
    CHECK(settings_.gateway_.bounds_.drainDelay_ == Milliseconds(3000));
    CHECK(settings_.gateway_.bounds_.grace_ == Milliseconds(5000));
    CHECK(settings_.gateway_.bounds_.exposureShare_ == 0.2);
}

TEST_CASE_FIXTURE(SettingsFixture, "GatewaySettings_WhenTheHedgingShareIsOutOfRange_AreRejected")
{
    const std::string common = "role: gateway\nname: g\nregion: r\nzone: z\nlisten: 127.0.0.1:1\nready: 127.0.0.1:2\n"
                               "peer: 127.0.0.1:3\nmetrics: 127.0.0.1:4\nplatform: 127.0.0.1:5\n";
    text_ = common;
    REQUIRE_FALSE(parse().error_);
    CHECK(settings_.gateway_.bounds_.hedgingShare_ == 0); // guards against hedging that nobody has enabled
    text_ = common + "hedging: { share: 0.2 }\n";
    REQUIRE_FALSE(parse().error_);
    CHECK(settings_.gateway_.bounds_.hedgingShare_ == 0.2);
    for (const char *share : { "0.21", "-0.1", "nan" }) {
        text_ = common + "hedging: { share: " + share + " }\n";
        const SettingsError error = parse();
        CHECK(error.error_ == SettingsErrc::OutOfRange);
        CHECK(error.key_ == "hedging.share");
        CHECK(error.accepted_ == "a number from 0 to 0.2");
    }
}
