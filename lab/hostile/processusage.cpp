#include "lab/hostile/processusage.h"

#include "sequoiausher/base/error.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <limits>
#include <sstream>
#include <string>
#include <system_error>
#include <unordered_set>
#include <vector>

#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Sequoiausher::Lab {

namespace {

constexpr int hexadecimal = 16;

/** What the kernel holds for one TCP connection of this machine. */
struct ConnectionQueues
{
    std::uint32_t inode = 0;
    std::size_t unreadBytes = 0;
    std::size_t unsentBytes = 0;
};

/** A socket to the kernel's list of connections. */
class ConnectionList
{
public:
    ConnectionList();
    ~ConnectionList();
    ConnectionList(const ConnectionList &) = delete;
    ConnectionList &operator=(const ConnectionList &) = delete;

    /** @throws Error(Step::Report) if the kernel does not tell. */
    std::vector<ConnectionQueues> read() const;

private:
    void ask() const;
    /** @return false if the list is complete. */
    bool readPart(std::vector<ConnectionQueues> &all) const;

    int descriptor = -1;
};

/** Returns the same from the kernel's table, which takes far longer to read beside many closed connections. */
std::vector<ConnectionQueues> readTable()
{
    std::vector<ConnectionQueues> all;
    std::ifstream table("/proc/net/tcp");
    table.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
    for (std::string line; std::getline(table, line);) {
        // Slot, local and remote address, state, TX:RX queue, timer, retransmits, user, timeout, inode.
        std::array<std::string, 10> columns;
        std::istringstream words(line);
        for (std::string &column : columns) {
            words >> column;
        }
        const bool isListening = columns[3] == "0A";
        if (!isListening) {
            const std::size_t colon = columns[4].find(':');
            all.push_back({static_cast<std::uint32_t>(std::stoul(columns[9])),
                           std::stoul(columns[4].substr(colon + 1), nullptr, hexadecimal),
                           std::stoul(columns[4].substr(0, colon), nullptr, hexadecimal)});
        }
    }
    return all;
}

[[noreturn]] void throwUnlisted(int problem)
{
    throw Error(Step::Report, "list of connections", std::generic_category().message(problem));
}

ConnectionList::ConnectionList() : descriptor(::socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG))
{
    if (this->descriptor < 0) {
        throwUnlisted(errno);
    }
}

ConnectionList::~ConnectionList()
{
    ::close(this->descriptor);
}

void ConnectionList::ask() const
{
    struct
    {
        nlmsghdr header;
        inet_diag_req_v2 what;
    } question{};
    question.header.nlmsg_len = sizeof question;
    question.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    question.header.nlmsg_flags = NLM_F_REQUEST | NLM_F_DUMP;
    question.what.sdiag_family = AF_INET;
    question.what.sdiag_protocol = IPPROTO_TCP;
    // Thousands of closed connections may wait for their time to be over: they hold nothing and are of no process.
    question.what.idiag_states = ~((1U << TCP_LISTEN) | (1U << TCP_TIME_WAIT));
    if (::send(this->descriptor, &question, sizeof question, 0) < 0) {
        throwUnlisted(errno);
    }
}

bool ConnectionList::readPart(std::vector<ConnectionQueues> &all) const
{
    std::array<char, 65536> buffer;
    const ssize_t size = ::recv(this->descriptor, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
        throwUnlisted(errno);
    }
    const auto end = static_cast<std::size_t>(size);
    for (std::size_t at = 0; at + sizeof(nlmsghdr) <= end;) {
        nlmsghdr header{};
        std::memcpy(&header, buffer.data() + at, sizeof header);
        const char *const content = buffer.data() + at + NLMSG_HDRLEN;
        if (header.nlmsg_type == NLMSG_DONE) {
            return false;
        }
        if (header.nlmsg_type == NLMSG_ERROR) {
            nlmsgerr problem{};
            std::memcpy(&problem, content, sizeof problem);
            throwUnlisted(-problem.error);
        }
        inet_diag_msg connection{};
        std::memcpy(&connection, content, sizeof connection);
        all.push_back({connection.idiag_inode, connection.idiag_rqueue, connection.idiag_wqueue});
        at += NLMSG_ALIGN(header.nlmsg_len);
    }
    return true;
}

std::vector<ConnectionQueues> ConnectionList::read() const
{
    std::vector<ConnectionQueues> all;
    this->ask();
    while (this->readPart(all)) {
    }
    return all;
}

std::vector<ConnectionQueues> readConnections()
{
    try {
        return ConnectionList().read();
    } catch (const Error &) {
        // This kernel was built without the list.
        return readTable();
    }
}

std::size_t ownMemory(const std::string &folder)
{
    std::ifstream status(folder + "/status");
    for (std::string word; status >> word;) {
        std::size_t kilobytes = 0;
        if (word == "RssAnon:" && status >> kilobytes) {
            return kilobytes * 1024;
        }
    }
    return 0;
}

/** Returns the inodes of the process's sockets, and counts all its descriptors. */
std::unordered_set<std::string> socketsOf(const std::string &folder, std::size_t &descriptors)
{
    std::unordered_set<std::string> sockets;
    std::error_code problem;
    for (const auto &entry : std::filesystem::directory_iterator(folder + "/fd", problem)) {
        descriptors += 1;
        const std::string target = std::filesystem::read_symlink(entry.path(), problem).string();
        if (target.starts_with("socket:[")) {
            sockets.insert(target.substr(8, target.size() - 9));
        }
    }
    return sockets;
}

} // namespace

std::size_t ProcessUsage::total() const
{
    return this->memoryBytes + this->unreadBytes + this->unsentBytes;
}

ProcessUsage readProcessUsage(std::int64_t processId)
{
    const std::string folder = "/proc/" + std::to_string(processId);
    ProcessUsage usage;
    usage.memoryBytes = ownMemory(folder);
    const std::unordered_set<std::string> sockets = socketsOf(folder, usage.descriptors);
    if (sockets.empty()) {
        return usage;
    }
    for (const ConnectionQueues &connection : readConnections()) {
        if (sockets.contains(std::to_string(connection.inode))) {
            usage.unreadBytes += connection.unreadBytes;
            usage.unsentBytes += connection.unsentBytes;
        }
    }
    return usage;
}

} // namespace Sequoiausher::Lab
