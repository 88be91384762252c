/**
 * @file large_configuration_func.h
 * @brief The largest configuration that a gateway has to accept on the smallest machine.
 */
#pragma once

#include <cstddef>
#include <string>

namespace Burdockfield::Testing {

constexpr size_t largeConfigurationRoutes = 2500;
constexpr size_t largeConfigurationWorkspaces = 1400;

/// @return the text of a configuration with 2,500 routes, 1,400 workspaces and 40 services.
inline std::string makeLargeConfiguration()
{
    std::string text = R"({"version":7,"routes":[)";
    for (size_t route = 0; route < largeConfigurationRoutes; ++route) {
        const std::string number = std::to_string(route);
        text += (route == 0 ? "" : ",") + std::string(R"({"name":"route-)") + number
            + R"(","host":"api.example.org","pathPrefix":"/department-)" + number
            + R"(/application","kind":"non_idempotent","timeoutMs":4000.0,"targetLatencyMs":850.5,"priority":2,)"
              R"("attempts":3,"allowAnonymous":false,"resumable":false,"backends":[{"service":"service-)"
            + std::to_string(route % 40) + R"(","weight":90},{"service":"service-)" + std::to_string((route + 1) % 40)
            + R"(","weight":10}]})";
    }
    text += R"(],"services":[)";
    for (size_t service = 0; service < 40; ++service) {
        text += (service == 0 ? "" : ",") + std::string(R"({"name":"service-)") + std::to_string(service)
            + R"(","maxConns":64,"engine":{"kvCapacityTokens":60000}})";
    }
    text += R"(],"tenants":[)";
    for (size_t workspace = 0; workspace < largeConfigurationWorkspaces; ++workspace) {
        const std::string number = std::to_string(workspace);
        text += (workspace == 0 ? "" : ",") + std::string(R"({"name":"workspace-)") + number
            + R"(","apiKeys":["0123456789abcdef0123456789abcdef-)" + number + R"(","fedcba9876543210-)" + number
            + R"("],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":1200.5,"burst":2400})";
    }
    return text + R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304}})";
}

} // namespace Burdockfield::Testing
