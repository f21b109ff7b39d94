#include "load.hpp"

#include "protocol/sse.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace auburnweir::bench
{

namespace
{

namespace net = transport::net;
using clock = std::chrono::steady_clock;

constexpr state::duration call_timeout = std::chrono::seconds{60};

double ms_since(clock::time_point begin)
{
    return std::chrono::duration<double, std::milli>(clock::now() - begin).count();
}

/// Sends requests one after the other until `remaining` is zero. The last sender stops `io`.
net::awaitable<void> send_requests(
    net::io_context& io, transport::http_client& client, load_request const& request,
    int& remaining, int& senders, load_result& result)
{
    while (remaining-- > 0)
    {
        transport::http_request call;
        call.method = "POST";
        call.target = request.target;
        call.headers = request.headers;
        call.body = request.body;
        state::endpoint server{"127.0.0.1", request.port};
        auto const begin = clock::now();
        auto opened = co_await client.open(std::move(server), std::move(call), call_timeout);
        if (!opened || opened.value().status() != 200)
        {
            ++result.failures;
            continue;
        }
        auto& stream = opened.value();
        bool first = true;
        for (;;)
        {
            auto const chunk = co_await stream.read(call_timeout);
            if (!chunk)
                ++result.failures;
            if (!chunk || chunk.value().empty())
                break;
            if (std::exchange(first, false))
                result.first_byte_ms.push_back(ms_since(begin));
            for (auto at = chunk.value().find("\"content\""); at != std::string_view::npos;
                 at = chunk.value().find("\"content\"", at + 1))
                ++result.tokens;
        }
    }
    if (--senders == 0)
        io.stop();
}

} // namespace

load_result run_load(load_request const& request, int count, int concurrency)
{
    net::io_context io(1);
    transport::http_client client(io);
    load_result result;
    int remaining = count;
    int senders = concurrency;
    auto const begin = clock::now();
    for (int i = 0; i < concurrency; ++i)
        net::co_spawn(
            io, send_requests(io, client, request, remaining, senders, result), net::detached);
    io.run();
    result.seconds = ms_since(begin) / 1000;
    return result;
}

process_usage usage_of(int pid)
{
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(stat, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string field;
    double user = 0;
    double system = 0;
    double pages = 0;
    constexpr int user_field = 14;
    constexpr int system_field = 15;
    constexpr int rss_field = 24;
    for (int i = 3; fields >> field && i <= rss_field; ++i)
    {
        if (i == user_field)
            user = std::stod(field);
        if (i == system_field)
            system = std::stod(field);
        if (i == rss_field)
            pages = std::stod(field);
    }
    return {
        (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK)),
        pages * static_cast<double>(sysconf(_SC_PAGESIZE))};
}

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return 0;
    auto const at = static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(
        values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
    return values[at];
}

line_fit fit_line(std::vector<std::pair<double, double>> const& points)
{
    double n = 0;
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (auto const& [x, y] : points)
    {
        n += 1;
        sx += x;
        sy += y;
        sxx += x * x;
        sxy += x * y;
    }
    auto const slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    return {slope, (sy - slope * sx) / n};
}

} // namespace auburnweir::bench
