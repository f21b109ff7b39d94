#include "programs/command_line.hpp"
#include "programs/program_support.hpp"
#include "protocol/entry_settings.hpp"
#include "protocol/service_text.hpp"
#include "transport/entry_server.hpp"
#include "transport/log.hpp"

#include <cstdio>
#include <iostream>

/// auburnweir-entry: accepts callers' requests and runs them to completion on backend servers.

namespace
{

using namespace auburnweir;

using programs::exit_failed;
using programs::exit_ok;
using programs::exit_usage;
using programs::read_file;

struct arguments
{
    char* settings = nullptr;
    int check = 0;
    int version = 0;
    int reference = 0;
    int events = 0;
    long long seed = -1;
};

struct load_result
{
    std::optional<protocol::entry_settings> settings;
    state::configuration_ptr configuration;
    state::findings found;
};

load_result load(std::string const& path)
{
    load_result result;
    auto const text = read_file(path, result.found);
    if (result.found.empty())
        result.settings = protocol::read_entry_settings(text, path, result.found);
    if (!result.settings)
        return result;
    auto const& service_path = result.settings->configuration_file;
    auto const service_text = read_file(service_path, result.found);
    if (result.found.empty())
        result.configuration =
            protocol::read_service_text(service_text, service_path, result.found);
    return result;
}

int serve(load_result loaded, long long seed)
{
    transport::start_log(loaded.settings->log_level);
    transport::entry_server::builder builder;
    builder.settings(*loaded.settings).configuration(loaded.configuration);
    if (seed >= 0)
        builder.seed(static_cast<std::uint64_t>(seed));
    std::string error;
    auto const server = builder.build(error);
    if (!server)
    {
        std::cerr << error << "\n";
        return exit_failed;
    }
    std::cout << "listening callers=" << server->caller_port() << " peers=" << server->peer_port()
              << std::endl;
    server->run();
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    arguments given;
    poptOption const options[] = {
        {"settings", 's', POPT_ARG_STRING, &given.settings, 0, "settings file of this instance",
         "FILE"},
        {"check-config", 'c', POPT_ARG_NONE, &given.check, 0,
         "check the settings and the service text, then exit", nullptr},
        {"reference", 0, POPT_ARG_NONE, &given.reference, 0,
         "print a reference of all settings as Markdown, then exit", nullptr},
        {"events", 0, POPT_ARG_NONE, &given.events, 0,
         "print the log event catalogue as Markdown, then exit", nullptr},
        {"seed", 0, POPT_ARG_LONGLONG, &given.seed, 0, "seed of the random number generators",
         "NUMBER"},
        {"version", 'v', POPT_ARG_NONE, &given.version, 0, "print the version, then exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    programs::command_line line(argc, argv, options, "--settings FILE [OPTION...]");
    auto const error = line.parse();
    if (!error.empty())
    {
        std::cerr << error << "\n";
        return exit_usage;
    }
    if (given.version)
    {
        std::cout << "auburnweir-entry " << AUBURNWEIR_VERSION << "\n";
        return exit_ok;
    }
    if (given.reference)
    {
        std::cout << protocol::entry_settings_reference() << protocol::service_text_reference();
        return exit_ok;
    }
    if (given.events)
    {
        std::cout << transport::log_catalogue_markdown();
        return exit_ok;
    }
    if (!given.settings)
    {
        std::cerr << "--settings FILE is missing\n";
        return exit_usage;
    }
    std::string const path = given.settings;
    std::free(given.settings);
    auto loaded = load(path);
    if (!loaded.found.empty())
    {
        std::cerr << state::to_text(loaded.found);
        return exit_failed;
    }
    if (given.check)
    {
        std::cout << "no findings\n";
        return exit_ok;
    }
    return serve(std::move(loaded), given.seed);
}
