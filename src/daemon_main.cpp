/**
 * @file daemon_main.cpp
 * @brief Main program of the daemon burdockfieldd.
 */
#include "daemon_func.h"
#include "log_func.h"
#include "settings_func.h"
#include "termination_func.h"
#include "version_type.h"

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace Burdockfield;
    CLI::App app{ "burdockfieldd: daemon of the burdockfield request scheduler" };
    app.set_version_flag("--version", std::string(versionText));
    std::string file;
    app.add_option("--settings", file, "Settings file (YAML); its role chooses gateway, entry or agent")->required();
    CLI11_PARSE(app, argc, argv);
    Settings settings;
    if (const SettingsError error = loadSettings(file, settings); error.error_) {
        std::cerr << describe(error) << '\n';
        return startFailureStatus;
    }
    configureAllocator();
    startLog("burdockfieldd", settings.identity_.name_, settings.logLevel_);
    installTerminationHandlers(settings.identity_.name_);
    int status = 0;
    switch (settings.role_) {
    case Role::Gateway:
        status = Gateway::runGatewayDaemon(settings, file);
        break;
    case Role::Entry:
        status = runEntryDaemon(settings);
        break;
    case Role::Agent:
        status = runAgentDaemon(settings);
        break;
    }
    if (!stopLog()) {
        std::_Exit(status); // a normal exit would wait for the log thread, which is blocked by the log's reader
    }
    return status;
}
