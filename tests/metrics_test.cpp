/**
 * @file metrics_test.cpp
 * @brief Tests of the text in which metrics are served.
 */
#include "metrics_type.h"

#include <doctest/doctest.h>

using namespace Burdockfield;

// Guards against lines of metrics that another program makes up with the name of a service.
TEST_CASE("Metrics_WhenALabelHasALineBreakOrQuotes_EscapeThem")
{
    Metrics metrics;
    count(metrics, "upstreams_replaced", "a\"} 1\nforged \\");
    observe(metrics, "wait_seconds", "b\"\n", Milliseconds(1));
    const std::string text = serializeMetrics(metrics);
    CHECK(text.find(R"({kind="a\"} 1\nforged \\"} 1)") != std::string::npos);
    CHECK(text.find(R"(_count{kind="b\"\n"} 1)") != std::string::npos);
    CHECK(text.find("\nforged") == std::string::npos);
}
