#include "platform/cloud_client.hpp"
#include "platform/format.hpp"
#include "platform/headers.hpp"
#include "platform/store_client.hpp"
#include "programs/command_line.hpp"
#include "programs/program_support.hpp"
#include "transport/gateway_server.hpp"
#include "transport/log.hpp"

#include <iostream>

/// auburnweir-gateway: forwards callers' requests to backend servers along the operators' routes.

namespace
{

using namespace auburnweir;
using programs::exit_failed;
using programs::exit_ok;
using programs::exit_usage;

struct arguments
{
    char* settings = nullptr;
    int check = 0;
    int version = 0;
    int reference = 0;
    long long seed = -1;
};

std::optional<protocol::gateway_settings> load(std::string const& path, state::findings& found)
{
    auto const text = programs::read_file(path, found);
    if (!found.empty())
        return std::nullopt;
    return protocol::read_gateway_settings(text, path, found);
}

transport::port_factory ports_of(protocol::gateway_settings const& settings)
{
    return [store = settings.store,
            fleet = settings.fleet](transport::http_client& http, state::counters& counters)
    {
        transport::owned_ports ports;
        ports.dialect = std::make_unique<platform::headers>();
        ports.format = std::make_unique<platform::format>();
        ports.store = std::make_unique<platform::store_client>(http, store, counters);
        ports.fleet = std::make_unique<platform::cloud_client>(http, fleet);
        return ports;
    };
}

int serve(protocol::gateway_settings const& settings, std::string const& path, long long seed)
{
    transport::start_log(settings.log_level);
    transport::gateway_server::builder builder;
    builder.settings(settings).ports(ports_of(settings));
    builder.settings_check(
        [path]
        {
            state::findings found;
            load(path, found);
            return found;
        });
    if (seed >= 0)
        builder.seed(static_cast<std::uint64_t>(seed));
    std::string error;
    auto const server = builder.build(error);
    if (!server)
    {
        std::cerr << error << "\n";
        return exit_failed;
    }
    std::cout << "listening callers=" << server->caller_port() << " ready=" << server->ready_port()
              << " metrics=" << server->metrics_port() << " peers=" << server->peer_port()
              << " relay=" << server->relay_port() << std::endl;
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
        {"check-config", 'c', POPT_ARG_NONE, &given.check, 0, "check the settings, then exit",
         nullptr},
        {"reference", 0, POPT_ARG_NONE, &given.reference, 0,
         "print a reference of all settings as Markdown, then exit", nullptr},
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
        std::cout << "auburnweir-gateway " << AUBURNWEIR_VERSION << "\n";
        return exit_ok;
    }
    if (given.reference)
    {
        std::cout << protocol::gateway_settings_reference();
        return exit_ok;
    }
    if (!given.settings)
    {
        std::cerr << "--settings FILE is missing\n";
        return exit_usage;
    }
    std::string const path = given.settings;
    std::free(given.settings);
    state::findings found;
    auto const settings = load(path, found);
    if (!settings)
    {
        std::cerr << state::to_text(found);
        return exit_failed;
    }
    if (given.check)
    {
        std::cout << "no findings\n";
        return exit_ok;
    }
    return serve(*settings, path, given.seed);
}
