/**
 * @file kit.h
 * @brief What the cases of the second review share: processes, raw HTTP, the platform's store, and clients.
 *
 * Uses POSIX and the standard library only. Every address is 127.0.0.1.
 */
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Review {

constexpr int exitHeld = 0; ///< The rule held.
constexpr int exitBroken = 1; ///< The rule was broken.
constexpr int exitNotRun = 2; ///< The case could not run.

using Clock = std::chrono::steady_clock;

inline int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch()).count();
}

inline int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleepMs(int64_t milliseconds)
{
    if (milliseconds > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
    }
}

/// Record of what was sent, answered and run; lines of several processes may be added to one file.
class Record
{
public:
    explicit Record(const std::string &file)
        : file_(open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644))
    {
    }

    void write(const std::string &line) const
    {
        const std::string text = std::to_string(nowMs()) + " " + line + "\n";
        if (::write(file_, text.data(), text.size()) < 0) {
            std::cerr << "record: " << std::strerror(errno) << "\n";
        }
    }

private:
    int file_;
};

// Sockets

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    return address;
}

/// @return a listening socket, or -1.
inline int listenOn(int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = loopback(port);
    if (bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || listen(socket, 256) != 0) {
        close(socket);
        return -1;
    }
    return socket;
}

inline int portOf(int socket)
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    getsockname(socket, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

/// @return ports that are free for TCP and UDP now, below those that the kernel gives to connections.
inline std::vector<int> freePorts(size_t count)
{
    constexpr int lowest = 12000;
    constexpr int highest = 30000;
    static std::random_device random;
    std::vector<int> ports;
    std::vector<int> held;
    while (ports.size() < count) {
        const int port = std::uniform_int_distribution(lowest, highest)(random);
        const int tcp = listenOn(port);
        if (tcp < 0) {
            continue;
        }
        const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        if (bind(udp, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
            ports.push_back(port);
        }
        held.push_back(tcp);
        held.push_back(udp);
    }
    std::for_each(held.begin(), held.end(), [](int socket) { close(socket); });
    return ports;
}

/// @return a connection, or -1.
inline int connectTo(int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(socket);
        return -1;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return socket;
}

inline bool sendAll(int socket, const std::string &bytes)
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t length = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (length <= 0) {
            return false;
        }
        sent += static_cast<size_t>(length);
    }
    return true;
}

/// Appends what arrives next. @return false at the end of the connection, or when nothing arrives in time
inline bool receiveMore(int socket, std::string &bytes, int64_t timeoutMs)
{
    pollfd waiting{ socket, POLLIN, 0 };
    if (timeoutMs <= 0 || poll(&waiting, 1, static_cast<int>(timeoutMs)) <= 0) {
        return false;
    }
    std::vector<char> part(65536);
    const ssize_t length = recv(socket, part.data(), part.size(), 0);
    if (length <= 0) {
        return false;
    }
    bytes.append(part.data(), static_cast<size_t>(length));
    return true;
}

// HTTP

struct Message
{
    std::string start_; ///< Request or status line.
    std::map<std::string, std::string> headers_; ///< By name in lowercase.
    std::string body_;

    std::string header(const std::string &name) const
    {
        const auto found = headers_.find(name);
        return found == headers_.end() ? std::string() : found->second;
    }
};

inline void parseHead(const std::string &text, Message &message)
{
    std::istringstream lines(text);
    std::string line;
    std::getline(lines, message.start_);
    message.start_.erase(message.start_.find_last_not_of('\r') + 1);
    while (std::getline(lines, line)) {
        line.erase(line.find_last_not_of('\r') + 1);
        const size_t colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        const size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers_[name] = value == std::string::npos ? std::string() : line.substr(value);
    }
}

/// Reads a request with a length. @return false if none arrives
inline bool readRequest(int socket, std::string &buffer, Message &request, int64_t timeoutMs)
{
    request = {};
    size_t end = std::string::npos;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!receiveMore(socket, buffer, timeoutMs)) {
            return false;
        }
    }
    parseHead(buffer.substr(0, end), request);
    buffer.erase(0, end + 4);
    const auto length = static_cast<size_t>(std::strtoull(request.header("content-length").c_str(), nullptr, 10));
    while (buffer.size() < length) {
        if (!receiveMore(socket, buffer, timeoutMs)) {
            return false;
        }
    }
    request.body_ = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

/// Answer as a client sees it.
struct Answer
{
    int status_ = 0; ///< 0 if no header was received.
    bool complete_ = false; ///< Whether its framing says that it is whole.
    Message message_;
    int64_t longestGapMs_ = 0; ///< Longest time between two parts of it, or before the first.
};

/// Removes what a chunked body holds so far from @p buffer. @return whether the last chunk was among it
inline bool takeChunks(std::string &buffer, std::string &body)
{
    while (true) {
        const size_t line = buffer.find("\r\n");
        if (line == std::string::npos) {
            return false;
        }
        const size_t length = std::strtoull(buffer.c_str(), nullptr, 16);
        if (buffer.size() < line + 2 + length + 2) {
            return false;
        }
        body += buffer.substr(line + 2, length);
        buffer.erase(0, line + 2 + length + 2);
        if (length == 0) {
            return true;
        }
    }
}

/// Reads an answer. @param patienceMs longest time without a byte after which the client leaves
inline Answer readAnswer(int socket, int64_t patienceMs, int64_t deadlineMs)
{
    Answer answer;
    std::string buffer;
    const int64_t end = nowMs() + deadlineMs;
    int64_t last = nowMs();
    bool headed = false;
    while (true) {
        const bool more = receiveMore(socket, buffer, std::min(patienceMs, end - nowMs()));
        answer.longestGapMs_ = std::max(answer.longestGapMs_, nowMs() - last);
        last = nowMs();
        if (!more) {
            return answer;
        }
        const size_t head = buffer.find("\r\n\r\n");
        if (!headed && head == std::string::npos) {
            continue;
        }
        if (!headed) {
            headed = true;
            parseHead(buffer.substr(0, head), answer.message_);
            buffer.erase(0, head + 4);
            answer.status_ = std::atoi(answer.message_.start_.substr(9, 3).c_str());
        }
        if (answer.message_.header("transfer-encoding") == "chunked") {
            answer.complete_ = takeChunks(buffer, answer.message_.body_);
        } else {
            answer.message_.body_ += buffer;
            buffer.clear();
            const size_t length = std::strtoull(answer.message_.header("content-length").c_str(), nullptr, 10);
            answer.complete_ = answer.message_.body_.size() >= length;
        }
        if (answer.complete_) {
            return answer;
        }
    }
}

inline std::string encodeBase64(const std::string &text)
{
    constexpr const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (size_t index = 0; index < text.size(); index += 3) {
        uint32_t bits = 0;
        for (size_t byte = 0; byte < 3; ++byte) {
            bits = bits << 8U | (index + byte < text.size() ? static_cast<unsigned char>(text[index + byte]) : 0U);
        }
        for (size_t digit = 0; digit < 4; ++digit) {
            const bool padded = index + digit > text.size();
            encoded += padded ? '=' : digits[bits >> (18 - 6 * digit) & 63U];
        }
    }
    return encoded;
}

/// The platform's metadata store, as far as gateways without rollouts use it. It is never at fault.
class Store
{
public:
    Store()
        : socket_(listenOn(0))
    {
        std::thread([this] { acceptAll(); }).detach();
    }

    int port() const
    {
        return portOf(socket_);
    }

    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        change(table, key, encodeBase64(value), false);
    }

    void remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(mutex_);
        change(table, key, {}, true);
    }

private:
    struct Row
    {
        std::string table_;
        std::string key_;
        std::string value_; ///< In base64.
        uint64_t version_ = 0;
        bool removed_ = false;
    };

    void change(const std::string &table, const std::string &key, const std::string &value, bool removed)
    {
        const Row row{ table, key, value, ++version_, removed };
        if (removed) {
            rows_.erase({ table, key });
        } else {
            rows_[{ table, key }] = row;
        }
        history_.push_back(row);
        changed_.notify_all();
    }

    static std::string toJson(const Row &row)
    {
        return R"({"table":")" + row.table_ + R"(","part":"","key":")" + row.key_ + R"(","ver":)"
            + std::to_string(row.version_)
            + (row.removed_ ? R"(,"deleted":true})" : R"(,"value":")" + row.value_ + "\"}");
    }

    std::string reply(const std::vector<Row> &rows) const
    {
        std::string text = R"({"rows":[)";
        for (const Row &row : rows) {
            text += (&row == rows.data() ? "" : ",") + toJson(row);
        }
        return text + R"(],"hasMore":false,"ver":)" + std::to_string(version_) + R"(,"nowMs":)"
            + std::to_string(nowMs()) + "}";
    }

    std::string read(const std::string &table, const std::string &from)
    {
        const std::lock_guard lock(mutex_);
        std::vector<Row> found;
        for (const auto &[key, row] : rows_) {
            if (key.first == table && key.second >= from) {
                found.push_back(row);
            }
        }
        return reply(found);
    }

    std::string feed(const std::string &table, uint64_t after, int64_t waitMs)
    {
        std::unique_lock lock(mutex_);
        std::vector<Row> found;
        const auto collect = [&] {
            std::copy_if(history_.begin(), history_.end(), std::back_inserter(found),
                [&](const Row &row) { return row.table_ == table && row.version_ > after; });
            return !found.empty();
        };
        changed_.wait_for(lock, std::chrono::milliseconds(waitMs), collect);
        return reply(found);
    }

    static std::string parameter(const std::string &target, const std::string &name)
    {
        const size_t at = std::min(target.find("?" + name + "="), target.find("&" + name + "="));
        if (at == std::string::npos) {
            return {};
        }
        const size_t begin = at + name.size() + 2;
        return target.substr(begin, std::min(target.find('&', begin), target.size()) - begin);
    }

    static std::string field(const std::string &json, const std::string &name, size_t from)
    {
        const size_t at = json.find("\"" + name + "\":\"", from);
        const size_t begin = at + name.size() + 4;
        return at == std::string::npos ? std::string() : json.substr(begin, json.find('"', begin) - begin);
    }

    std::string respond(const Message &request)
    {
        const std::string target = request.start_.substr(request.start_.find(' ') + 1);
        const std::string path = target.substr(0, target.find(' '));
        if (path.find("/rows-tx") != std::string::npos) { // a gateway writes one row, its own
            const size_t puts = request.body_.find("\"puts\"");
            const std::lock_guard lock(mutex_);
            change(field(request.body_, "table", puts), field(request.body_, "key", puts),
                field(request.body_, "value", puts), false);
            return R"({"ver":)" + std::to_string(version_) + "}";
        }
        const std::string table = parameter(path, "table");
        if (path.find("/rows-feed") != std::string::npos) {
            return feed(table, std::strtoull(parameter(path, "after").c_str(), nullptr, 10),
                std::atoll(parameter(path, "waitMs").c_str()));
        }
        return read(table, parameter(path, "from"));
    }

    void serve(int socket)
    {
        std::string buffer;
        Message request;
        while (readRequest(socket, buffer, request, 60000)) {
            const std::string body = respond(request);
            if (!sendAll(socket,
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + std::to_string(body.size()) + "\r\n\r\n" + body)) {
                break;
            }
        }
        close(socket);
    }

    void acceptAll()
    {
        for (int socket = accept(socket_, nullptr, nullptr); socket >= 0; socket = accept(socket_, nullptr, nullptr)) {
            std::thread([this, socket] { serve(socket); }).detach();
        }
    }

    int socket_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::pair<std::string, std::string>, Row> rows_;
    std::vector<Row> history_;
    uint64_t version_ = 0;
};

// Processes

/// Processes that the case has started; all are ended when it is destroyed.
class Processes
{
public:
    Processes() = default;
    Processes(const Processes &) = delete;
    Processes &operator=(const Processes &) = delete;

    ~Processes()
    {
        for (const pid_t process : std::vector<pid_t>(running_)) {
            kill(process);
        }
    }

    /// Starts a program, whose output goes to @p log. @return its id
    pid_t start(const std::vector<std::string> &command, const std::string &log)
    {
        std::vector<char *> words;
        for (const std::string &word : command) {
            words.push_back(const_cast<char *>(word.c_str()));
        }
        words.push_back(nullptr);
        const pid_t process = fork();
        if (process == 0) {
            const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(output, STDOUT_FILENO);
            dup2(output, STDERR_FILENO);
            execv(words[0], words.data());
            _exit(127);
        }
        running_.push_back(process);
        return process;
    }

    /// Ends a process at once, also one that is stopped.
    void kill(pid_t process)
    {
        ::kill(process, SIGKILL);
        waitpid(process, nullptr, 0);
        running_.erase(std::remove(running_.begin(), running_.end(), process), running_.end());
    }

    /// @return whether a process that was started here has ended by itself; it is forgotten then.
    bool hasEnded(pid_t process)
    {
        const auto found = std::find(running_.begin(), running_.end(), process);
        if (found == running_.end() || waitpid(process, nullptr, WNOHANG) != process) {
            return false;
        }
        running_.erase(found);
        return true;
    }

private:
    std::vector<pid_t> running_;
};

/// Gateway of the deploy file, on ports of its own.
struct Gateway
{
    std::string name_;
    std::string settings_; ///< Its settings file.
    int listen_ = 0;
    int ready_ = 0;
    int metrics_ = 0;
    int peer_ = 0;
    pid_t process_ = 0;
};

inline std::string address(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// Writes the settings that the template of the deploy file gives for a small deployment.
inline Gateway makeGateway(const std::string &folder, const std::string &name, const std::string &zone, int store)
{
    const std::vector<int> ports = freePorts(4);
    Gateway gateway{ name, folder + "/" + name + ".yaml", ports[0], ports[1], ports[2], ports[3], 0 };
    std::ofstream file(gateway.settings_);
    file << "role: gateway\nname: \"" << name << "\"\nregion: \"norte\"\nzone: \"" << zone << "\"\nlisten: \""
         << address(gateway.listen_) << "\"\nready: \"" << address(gateway.ready_) << "\"\nmetrics: \""
         << address(gateway.metrics_) << "\"\npeer: \"" << address(gateway.peer_) << "\"\nplatform: \""
         << address(store) << "\"\nseeds: []\nzones:\n  \"norte-a\": \"norte\"\n  \"centro-a\": \"centro\"\n"
         << "  \"sur-a\": \"sur\"\nfirst_start: true\nmemory: 110MiB\ndescriptors: 4100\nprocessor: 0.19\nbounds:\n"
         << "  repeat_ratio: 0.2\n  repeat_slack: 58\n  quota_window: 8s\n  quota_overshoot: 0.1\n"
         << "  quota_token_slack: 72000\n  configuration_delay: 2500ms\n  drain_delay: 2500ms\n  grace: 8s\n";
    return gateway;
}

inline void startGateway(Processes &processes, Gateway &gateway, const std::string &root, const std::string &folder)
{
    gateway.process_ = processes.start(
        { root + "/target/burdockfieldd", "--settings", gateway.settings_ }, folder + "/" + gateway.name_ + ".log");
}

/// @return whether the platform's question gets a 200.
inline bool isReady(const Gateway &gateway)
{
    const int socket = connectTo(gateway.ready_);
    if (socket < 0) {
        return false;
    }
    sendAll(socket, "GET /burdockfield/ready HTTP/1.1\r\nHost: " + address(gateway.ready_) + "\r\n\r\n");
    const Answer answer = readAnswer(socket, 1000, 1000);
    close(socket);
    return answer.status_ == 200;
}

inline bool waitUntil(const std::function<bool()> &condition, int64_t timeoutMs)
{
    for (const int64_t end = nowMs() + timeoutMs; nowMs() < end; sleepMs(50)) {
        if (condition()) {
            return true;
        }
    }
    return condition();
}

/// Request of a client.
struct Request
{
    std::string id_;
    std::string method_ = "POST";
    std::string path_;
    std::string body_;
    int64_t deadlineMs_ = 2000;
    int64_t patienceMs_ = 2000; ///< Longest gap that the client bears.
    std::string further_; ///< Further header lines.
};

inline std::string toText(const Request &request)
{
    return request.method_ + " " + request.path_ + " HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " + request.id_
        + "\r\nDeadline-Ms: " + std::to_string(request.deadlineMs_) + "\r\nAuthorization: Bearer key-1\r\n"
        + request.further_ + "Content-Length: " + std::to_string(request.body_.size()) + "\r\n\r\n" + request.body_;
}

/// Sends a request on a new connection and reads its answer.
inline Answer callOnce(int port, const Request &request)
{
    const int socket = connectTo(port);
    Answer answer;
    if (socket >= 0 && sendAll(socket, toText(request))) {
        answer = readAnswer(socket, request.patienceMs_, request.deadlineMs_);
    }
    if (socket >= 0) {
        close(socket);
    }
    return answer;
}

} // namespace Review
