/// Preloaded library that cuts a process off from ports on loopback.
///
/// The file that `AUBURNWEIR_LINK_CUT` names holds one line for each port: `refuse PORT` makes new
/// connections fail at once, `drop PORT` leaves them without an answer. It is read at each connect.

#include <arpa/inet.h>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace
{

using connect_function = int (*)(int, sockaddr const*, socklen_t);

enum class cut_kind
{
    none,
    refuse,
    drop
};

cut_kind cut_of(int port)
{
    char const* path = std::getenv("AUBURNWEIR_LINK_CUT");
    auto* file = path ? std::fopen(path, "r") : nullptr;
    if (!file)
        return cut_kind::none;
    char word[16] = {};
    int listed = 0;
    auto found = cut_kind::none;
    while (std::fscanf(file, "%15s %d", word, &listed) == 2)
        if (listed == port)
            found = std::strcmp(word, "refuse") == 0 ? cut_kind::refuse : cut_kind::drop;
    std::fclose(file);
    return found;
}

/// An address whose queue of connections is full, so that the kernel drops further ones.
sockaddr_in unanswered_address(connect_function real_connect)
{
    static sockaddr_in const address = [&]
    {
        sockaddr_in own{};
        own.sin_family = AF_INET;
        own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto const listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto* const as_general = reinterpret_cast<sockaddr*>(&own);
        socklen_t size = sizeof own;
        ::bind(listener, as_general, size);
        ::listen(listener, 0);
        ::getsockname(listener, as_general, &size);
        constexpr int connections_that_fill_the_queue = 3;
        for (int i = 0; i < connections_that_fill_the_queue; ++i)
            real_connect(
                ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), as_general, size);
        return own;
    }();
    return address;
}

} // namespace

extern "C" int connect(int socket, sockaddr const* to, socklen_t size)
{
    static auto const real_connect =
        reinterpret_cast<connect_function>(::dlsym(RTLD_NEXT, "connect"));
    if (to->sa_family != AF_INET)
        return real_connect(socket, to, size);
    auto const port = ntohs(reinterpret_cast<sockaddr_in const*>(to)->sin_port);
    switch (cut_of(port))
    {
    case cut_kind::refuse:
        errno = ECONNREFUSED;
        return -1;
    case cut_kind::drop:
    {
        auto const address = unanswered_address(real_connect);
        return real_connect(socket, reinterpret_cast<sockaddr const*>(&address), sizeof address);
    }
    case cut_kind::none:
        break;
    }
    return real_connect(socket, to, size);
}
