#pragma once

#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <mutex>
#include <string>

namespace review {

using clock = std::chrono::steady_clock;

/// Milliseconds since the process started.
inline double now_ms() {
    static clock::time_point const start = clock::now();
    return std::chrono::duration<double, std::milli>(clock::now() - start).count();
}

/// Writes record.txt: one line for each thing that was sent, answered or run, with its time in milliseconds.
class record {
public:
    static record& instance() {
        static record created;
        return created;
    }
    void open(std::string const& path) {
        file_ = std::fopen(path.c_str(), "w");
        std::setvbuf(stdout, nullptr, _IOLBF, 0);
        now_ms();
    }
    void line(char const* format, ...) __attribute__((format(printf, 2, 3))) {
        std::va_list arguments;
        va_start(arguments, format);
        write(format, arguments, false);
        va_end(arguments);
    }
    /// Also printed to standard output.
    void say(char const* format, ...) __attribute__((format(printf, 2, 3))) {
        std::va_list arguments;
        va_start(arguments, format);
        write(format, arguments, true);
        va_end(arguments);
    }
    void flush() {
        std::scoped_lock const lock{mutex_};
        if (file_ != nullptr)
            std::fflush(file_);
        std::fflush(stdout);
    }

private:
    void write(char const* format, std::va_list arguments, bool also_print) {
        std::string text(4096, '\0');
        auto const length = std::vsnprintf(text.data(), text.size(), format, arguments);
        text.resize(static_cast<std::size_t>(length < 0 ? 0 : std::min<int>(length, 4095)));
        std::scoped_lock const lock{mutex_};
        if (file_ != nullptr)
            std::fprintf(file_, "%10.1f %s\n", now_ms(), text.c_str());
        if (also_print)
            std::printf("%10.1f %s\n", now_ms(), text.c_str());
    }

    std::mutex mutex_;
    std::FILE* file_{nullptr};
};

template <class... Arguments>
void log(char const* format, Arguments... arguments) {
    record::instance().line(format, arguments...);
}
template <class... Arguments>
void say(char const* format, Arguments... arguments) {
    record::instance().say(format, arguments...);
}

} // namespace review
