/// Preloaded library that cuts a process off from ports on loopback.
///
/// The file that `AUBURNWEIR_LINK_CUT` names holds one line for each port: `refuse PORT` makes new
/// connections fail at once, `drop PORT` leaves them without an answer. `hang PORT` does the same,
/// and what is written to open connections is lost and never acknowledged; they stay silent after
/// the line is gone. The file is read at each connect and write.

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <dlfcn.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

using connect_function = int (*)(int, sockaddr const*, socklen_t);

enum class cut_kind
{
    none,
    refuse,
    drop,
    hang
};

cut_kind kind_named(char const* word)
{
    if (std::strcmp(word, "refuse") == 0)
        return cut_kind::refuse;
    return std::strcmp(word, "hang") == 0 ? cut_kind::hang : cut_kind::drop;
}

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
            found = kind_named(word);
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

/// Sockets whose connections hang, by descriptor, until it is closed.
constexpr int max_descriptors = 65536;
std::array<std::atomic<bool>, max_descriptors> hangs;

bool is_tracked(int socket)
{
    return socket >= 0 && socket < max_descriptors;
}

/// Whether what is written to a socket gets lost.
bool loses_writes(int socket)
{
    if (!is_tracked(socket))
        return false;
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    bool const is_remote = ::getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &size) == 0 &&
                           peer.sin_family == AF_INET;
    if (is_remote && cut_of(ntohs(peer.sin_port)) == cut_kind::hang)
        hangs[socket] = true;
    return hangs[socket];
}

std::size_t bytes_of(msghdr const& message)
{
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < message.msg_iovlen; ++i)
        bytes += message.msg_iov[i].iov_len;
    return bytes;
}

} // namespace

extern "C" ssize_t sendmsg(int socket, msghdr const* message, int flags)
{
    using send_function = ssize_t (*)(int, msghdr const*, int);
    static auto const real_send = reinterpret_cast<send_function>(::dlsym(RTLD_NEXT, "sendmsg"));
    if (loses_writes(socket))
        return static_cast<ssize_t>(bytes_of(*message));
    return real_send(socket, message, flags);
}

extern "C" ssize_t send(int socket, void const* bytes, std::size_t size, int flags)
{
    using send_function = ssize_t (*)(int, void const*, std::size_t, int);
    static auto const real_send = reinterpret_cast<send_function>(::dlsym(RTLD_NEXT, "send"));
    if (loses_writes(socket))
        return static_cast<ssize_t>(size);
    return real_send(socket, bytes, size, flags);
}

/// Bytes that were lost are never acknowledged.
extern "C" int ioctl(int descriptor, unsigned long request, ...) noexcept
{
    using ioctl_function = int (*)(int, unsigned long, void*);
    static auto const real_ioctl = reinterpret_cast<ioctl_function>(::dlsym(RTLD_NEXT, "ioctl"));
    va_list arguments;
    va_start(arguments, request);
    auto* const argument = va_arg(arguments, void*);
    va_end(arguments);
    if (request != SIOCOUTQ || !is_tracked(descriptor) || !hangs[descriptor])
        return real_ioctl(descriptor, request, argument);
    *static_cast<int*>(argument) = 1;
    return 0;
}

extern "C" int close(int descriptor)
{
    static auto const real_close = reinterpret_cast<int (*)(int)>(::dlsym(RTLD_NEXT, "close"));
    if (is_tracked(descriptor))
        hangs[descriptor] = false;
    return real_close(descriptor);
}

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
    case cut_kind::hang:
    {
        auto const address = unanswered_address(real_connect);
        return real_connect(socket, reinterpret_cast<sockaddr const*>(&address), sizeof address);
    }
    case cut_kind::none:
        break;
    }
    return real_connect(socket, to, size);
}
