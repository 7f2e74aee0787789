#pragma once

#include "record.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

struct address {
    std::string ip;
    int port{0};
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in socket_address(address const& from) {
    sockaddr_in made{};
    made.sin_family = AF_INET;
    made.sin_port = htons(static_cast<std::uint16_t>(from.port));
    inet_pton(AF_INET, from.ip.c_str(), &made.sin_addr);
    return made;
}

inline void sleep_ms(double length) {
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(std::max(0.0, length)));
}

using headers = std::vector<std::pair<std::string, std::string>>;

inline bool equal_name(std::string_view one, std::string_view other) {
    return one.size() == other.size() && strncasecmp(one.data(), other.data(), one.size()) == 0;
}

inline std::string find_header(headers const& list, std::string_view name) {
    for (auto const& [key, value] : list) {
        if (equal_name(key, name))
            return value;
    }
    return {};
}

/// A request or an answer. The first line is kept as it was received.
struct message {
    std::string first_line;
    headers fields;
    std::string body;

    std::string header(std::string_view name) const { return find_header(fields, name); }
    std::string method() const { return first_line.substr(0, first_line.find(' ')); }
    std::string target() const {
        auto const begin = first_line.find(' ') + 1;
        return first_line.substr(begin, first_line.find(' ', begin) - begin);
    }
    std::string status() const { return first_line.size() >= 12 ? first_line.substr(9, 3) : std::string{}; }
};

/// One TCP connection with blocking reads that are bounded by a timeout.
class channel {
public:
    explicit channel(int descriptor)
        : descriptor_(descriptor) {
        int const on = 1;
        setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    channel(channel const&) = delete;
    channel& operator=(channel const&) = delete;
    ~channel() { close(); }

    static std::unique_ptr<channel> connect(address const& to, int timeout_ms = 1000) {
        int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        auto const where = socket_address(to);
        int failed = ::connect(descriptor, reinterpret_cast<sockaddr const*>(&where), sizeof where);
        if (failed != 0 && errno == EINPROGRESS) {
            pollfd waited{descriptor, POLLOUT, 0};
            failed = ::poll(&waited, 1, timeout_ms) == 1 ? 0 : -1;
            int code = 0;
            socklen_t length = sizeof code;
            getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &code, &length);
            if (code != 0)
                failed = -1;
        }
        if (failed != 0) {
            ::close(descriptor);
            return nullptr;
        }
        fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
        return std::make_unique<channel>(descriptor);
    }

    bool send(std::string_view bytes) {
        while (!bytes.empty()) {
            auto const sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    /// Reads more bytes into the buffer. False at the end of the connection, on an error or after the timeout.
    bool fill(double until) {
        while (true) {
            pollfd waited{descriptor_, POLLIN, 0};
            auto const left = until - now_ms();
            timed_out_ = left <= 0;
            if (timed_out_)
                return false;
            auto const ready = ::poll(&waited, 1, static_cast<int>(std::min(left, 3.6e6)) + 1);
            if (ready < 0 && errno == EINTR)
                continue;
            if (ready == 0)
                continue;
            char part[65536];
            auto const count = ::recv(descriptor_, part, sizeof part, 0);
            if (count <= 0) {
                ended_ = true;
                reset_ = count < 0;
                return false;
            }
            buffer_.append(part, static_cast<std::size_t>(count));
            return true;
        }
    }

    std::optional<message> read_head(double until) {
        while (true) {
            auto const end = buffer_.find("\r\n\r\n");
            if (end != std::string::npos)
                return take_head(end);
            if (!fill(until))
                return std::nullopt;
        }
    }

    /// Reads a message with its body. Bodies without a length or chunks last to the end of the connection only in
    /// answers.
    std::optional<message> read_message(double until, bool is_answer, bool has_body = true) {
        auto received = read_head(until);
        if (!received)
            return std::nullopt;
        if (!has_body || !read_body(*received, until, is_answer))
            return has_body ? std::nullopt : received;
        return received;
    }

    bool read_body(message& received, double until, bool is_answer) {
        auto const length = received.header("Content-Length");
        if (equal_name(received.header("Transfer-Encoding"), "chunked")) {
            while (true) {
                auto const size_line = read_line(until);
                if (!size_line)
                    return false;
                auto const size = std::strtoul(size_line->c_str(), nullptr, 16);
                if (!read_bytes(size + 2, received.body, until))
                    return false;
                received.body.resize(received.body.size() - 2);
                if (size == 0)
                    return true;
            }
        }
        if (!length.empty())
            return read_bytes(std::strtoul(length.c_str(), nullptr, 10), received.body, until);
        auto const status = received.status();
        if (!is_answer || status == "204" || status == "304")
            return true;
        while (fill(until)) {
        }
        received.body = std::exchange(buffer_, {});
        return ended_ && !reset_;
    }

    std::optional<std::string> read_line(double until) {
        while (true) {
            auto const end = buffer_.find("\r\n");
            if (end != std::string::npos) {
                auto line = buffer_.substr(0, end);
                buffer_.erase(0, end + 2);
                return line;
            }
            if (!fill(until))
                return std::nullopt;
        }
    }

    bool read_bytes(std::size_t count, std::string& to, double until) {
        while (buffer_.size() < count) {
            if (!fill(until))
                return false;
        }
        to.append(buffer_, 0, count);
        buffer_.erase(0, count);
        return true;
    }

    /// Whether the peer has closed or reset the connection.
    bool peer_closed() {
        char byte = 0;
        auto const count = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    bool timed_out() const { return timed_out_; }
    bool ended() const { return ended_; }
    void close() {
        if (descriptor_ >= 0)
            ::close(std::exchange(descriptor_, -1));
    }
    /// Closes with a reset.
    void reset() {
        linger const at_once{1, 0};
        setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        close();
    }
    /// Ends blocked reads and writes from another thread. The descriptor stays open.
    void shut_down() {
        if (descriptor_ >= 0)
            ::shutdown(descriptor_, SHUT_RDWR);
    }

private:
    message take_head(std::size_t end) {
        message received;
        std::string_view rest{buffer_.data(), end + 2};
        bool first = true;
        while (!rest.empty()) {
            auto const stop = rest.find("\r\n");
            auto const line = rest.substr(0, stop);
            rest.remove_prefix(stop + 2);
            if (first) {
                received.first_line = line;
                first = false;
                continue;
            }
            auto const colon = line.find(':');
            if (colon == std::string_view::npos)
                continue;
            auto value = line.substr(colon + 1);
            while (!value.empty() && value.front() == ' ')
                value.remove_prefix(1);
            received.fields.emplace_back(line.substr(0, colon), value);
        }
        buffer_.erase(0, end + 4);
        return received;
    }

    int descriptor_;
    std::string buffer_;
    bool timed_out_{false};
    bool ended_{false};
    bool reset_{false};
};

using channel_pointer = std::shared_ptr<channel>;

/// Accepts connections and serves each in a thread of its own.
class listener {
public:
    using serve_function = std::function<void(channel_pointer)>;

    listener(address where, serve_function serve)
        : where_(std::move(where))
        , serve_(std::move(serve)) {
        open();
    }
    address const& where() const { return where_; }
    bool ok() const { return descriptor_ >= 0; }

    /// Ends listening, so that connections are refused, and resets all that are open.
    void stop() {
        {
            std::scoped_lock const lock{mutex_};
            stopped_ = true;
            if (descriptor_ >= 0) {
                ::shutdown(descriptor_, SHUT_RDWR);
                ::close(std::exchange(descriptor_, -1));
            }
        }
        close_channels();
    }
    void close_channels() {
        std::scoped_lock const lock{mutex_};
        for (auto const& item : open_) {
            if (auto const held = item.lock())
                held->shut_down();
        }
        open_.clear();
    }
    void restart() {
        {
            std::scoped_lock const lock{mutex_};
            stopped_ = false;
        }
        open();
    }

private:
    void open() {
        int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const on = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto place = socket_address(where_);
        if (::bind(descriptor, reinterpret_cast<sockaddr const*>(&place), sizeof place) != 0 ||
            ::listen(descriptor, 512) != 0) {
            ::close(descriptor);
            return;
        }
        socklen_t length = sizeof place;
        getsockname(descriptor, reinterpret_cast<sockaddr*>(&place), &length);
        where_.port = ntohs(place.sin_port);
        descriptor_ = descriptor;
        std::thread{[this, descriptor] { accept_all(descriptor); }}.detach();
    }
    void accept_all(int descriptor) {
        while (true) {
            int const accepted = ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                std::scoped_lock const lock{mutex_};
                if (stopped_ || descriptor_ != descriptor)
                    return;
                continue;
            }
            auto const opened = std::make_shared<channel>(accepted);
            {
                std::scoped_lock const lock{mutex_};
                std::erase_if(open_, [](auto const& item) { return item.expired(); });
                open_.push_back(opened);
            }
            std::thread{[this, opened] { serve_(opened); }}.detach();
        }
    }

    address where_;
    serve_function serve_;
    std::mutex mutex_;
    bool stopped_{false};
    int descriptor_{-1};
    std::vector<std::weak_ptr<channel>> open_;
};

/// Whether the port of the address can be listened on.
inline bool is_free(address const& wanted) {
    int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto const place = socket_address(wanted);
    bool const bound = ::bind(descriptor, reinterpret_cast<sockaddr const*>(&place), sizeof place) == 0;
    ::close(descriptor);
    return bound;
}

inline std::string format_answer(std::string const& status_line, headers const& fields, std::string const& body,
                                 bool with_length = true) {
    std::string text = "HTTP/1.1 " + status_line + "\r\n";
    for (auto const& [name, value] : fields)
        text += name + ": " + value + "\r\n";
    if (with_length)
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

} // namespace review
