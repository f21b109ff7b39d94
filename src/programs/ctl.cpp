#include "programs/command_line.hpp"
#include "programs/program_support.hpp"
#include "protocol/entry_settings.hpp"
#include "protocol/gateway_settings.hpp"
#include "protocol/json.hpp"
#include "protocol/option_table.hpp"
#include "protocol/service_text.hpp"
#include "transport/http_client.hpp"

#include <iomanip>
#include <iostream>

/// auburnweirctl: shows the state of a gateway and checks settings files.

namespace
{

using namespace auburnweir;
using nlohmann::json;
using programs::exit_failed;
using programs::exit_ok;
using programs::exit_usage;

constexpr state::duration call_timeout = std::chrono::seconds{3};
constexpr int status_ok = 200;
constexpr char const* usage =
    "[-j] COMMAND [ARGUMENT]\n\n"
    "  check FILE        check a settings file or a service text\n"
    "  show              show the configuration in force and readiness\n"
    "  status SERVICE    list the backend servers of a service\n"
    "  nodes             list the instances that report to the holder of the duties\n"
    "  counters          print all counters";

struct arguments
{
    char* at = nullptr;
    int json_output = 0;
};

/// One row of a table; the first row is the header.
using row = std::vector<std::string>;

void print_table(std::vector<row> const& rows)
{
    std::vector<std::size_t> widths;
    for (auto const& r : rows)
        for (std::size_t i = 0; i < r.size(); ++i)
        {
            widths.resize(std::max(widths.size(), i + 1));
            widths[i] = std::max(widths[i], r[i].size());
        }
    for (auto const& r : rows)
    {
        for (std::size_t i = 0; i < r.size(); ++i)
            std::cout << std::left << std::setw(static_cast<int>(widths[i] + 2)) << r[i];
        std::cout << "\n";
    }
}

std::string text_of(json const& object, char const* key)
{
    auto const it = object.find(key);
    if (it == object.end() || it->is_null())
        return "-";
    if (it->is_string())
        return it->get<std::string>();
    if (it->is_boolean())
        return it->get<bool>() ? "yes" : "no";
    return it->dump();
}

/// Fetches a page from a gateway's metrics address. @return null after printing an error
std::optional<std::string> fetch(std::string const& at, std::string const& path)
{
    auto const address = protocol::parse_endpoint(at);
    if (!address)
    {
        std::cerr << "'" << at << "' is not an IP address and port\n";
        return std::nullopt;
    }
    transport::net::io_context io(1);
    transport::http_client client(io);
    std::optional<std::string> body;
    transport::net::co_spawn(
        io,
        [&]() -> transport::net::awaitable<void>
        {
            transport::http_request request;
            request.target = path;
            auto response = co_await client.call(*address, std::move(request), call_timeout);
            bool const is_whole = response && !response.value().ends_with_connection();
            if (is_whole && response.value().status == status_ok)
                body = std::move(response.value().body);
            io.stop();
        },
        transport::net::detached);
    io.run_for(call_timeout * 2);
    if (!body)
        std::cerr << at << path << " did not respond with status 200 and a whole page\n";
    return body;
}

int check(std::string const& path, bool as_json)
{
    state::findings found;
    auto const text = programs::read_file(path, found);
    if (found.empty())
    {
        if (text.find("[gateway]") != std::string::npos)
            protocol::read_gateway_settings(text, path, found);
        else if (text.find("[entry]") != std::string::npos)
            protocol::read_entry_settings(text, path, found);
        else
            protocol::read_service_text(text, path, found);
    }
    if (as_json)
    {
        auto list = json::array();
        for (auto const& f : found)
            list.push_back(
                {{"file", f.file}, {"line", f.line}, {"key", f.key}, {"reason", f.reason}});
        std::cout << protocol::dump({{"findings", std::move(list)}}) << "\n";
    }
    else
        std::cout << (found.empty() ? "no findings\n" : state::to_text(found));
    return found.empty() ? exit_ok : exit_failed;
}

void print_list(json const& list, std::vector<char const*> const& columns)
{
    std::vector<row> rows(1);
    for (auto const* c : columns)
        rows[0].emplace_back(c);
    for (auto const& item : list)
    {
        row r;
        for (auto const* c : columns)
            r.push_back(text_of(item, c));
        rows.push_back(std::move(r));
    }
    print_table(rows);
}

void show(json const& status)
{
    print_table(
        {{"instance", text_of(status, "id")},
         {"failure domain", text_of(status, "failure_domain")},
         {"ready", text_of(status, "ready")},
         {"stopping", text_of(status, "stopping")},
         {"holds duties", text_of(status, "holds_duties")},
         {"duties held by", text_of(status, "duties_held_by")}});
    auto const unreachable = protocol::array_at(status, "unreachable_services");
    if (!unreachable.empty())
        print_list(unreachable, {"service", "for_ms", "relays"});
    auto const& configuration = status["configuration"];
    if (!configuration.is_object())
        return;
    print_table(
        {{"configuration", text_of(configuration, "version")},
         {"age, ms", text_of(configuration, "age_ms")},
         {"routes", text_of(configuration, "routes")},
         {"organisations", text_of(configuration, "organisations")}});
}

json backends_of(json const& status, std::string const& service)
{
    auto list = json::array();
    for (auto const& b : protocol::array_at(status, "backends"))
        if (protocol::text_at(b, "service") == service)
            list.push_back(b);
    return list;
}

int query_gateway(std::vector<std::string> const& words, std::string const& at, bool as_json)
{
    bool const counters = words[0] == "counters";
    auto const body = fetch(at, counters ? "/metrics" : "/status");
    if (!body)
        return exit_failed;
    if (counters)
    {
        std::cout << *body;
        return exit_ok;
    }
    auto const status = protocol::parse_json(*body);
    if (!status)
    {
        std::cerr << at << " did not return JSON\n";
        return exit_failed;
    }
    if (words[0] == "status")
    {
        auto const list = backends_of(*status, words[1]);
        if (as_json)
            std::cout << protocol::dump(list) << "\n";
        else
            print_list(
                list, {"id", "failure_domain", "address", "version", "reclaimable", "leaving",
                       "ejected", "in_progress"});
        return list.empty() ? exit_failed : exit_ok;
    }
    if (as_json)
        std::cout << protocol::dump(words[0] == "nodes" ? (*status)["instances"] : *status) << "\n";
    else if (words[0] == "nodes")
        print_list(
            protocol::array_at(*status, "instances"),
            {"id", "failure_domain", "address", "heard_ms_ago", "stopping"});
    else
        show(*status);
    return exit_ok;
}

/// Number of words of a command line, with the command itself; 0 for an unknown command.
std::size_t word_count_of(std::string const& command)
{
    if (command == "check" || command == "status")
        return 2;
    bool const known = command == "show" || command == "nodes" || command == "counters";
    return known ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    arguments given;
    poptOption const options[] = {
        {"at", 'a', POPT_ARG_STRING, &given.at, 0, "metrics address of a gateway", "HOST:PORT"},
        {"json", 'j', POPT_ARG_NONE, &given.json_output, 0, "print JSON", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    programs::command_line line(argc, argv, options, usage);
    auto const error = line.parse();
    auto const words = line.arguments();
    std::string const at = given.at ? given.at : "127.0.0.1:9464";
    std::free(given.at);
    if (!error.empty() || words.empty() || words.size() != word_count_of(words[0]))
    {
        std::cerr << (error.empty() ? "unknown command; see --help" : error) << "\n";
        return exit_usage;
    }
    if (words[0] == "check")
        return check(words[1], given.json_output != 0);
    return query_gateway(words, at, given.json_output != 0);
}
