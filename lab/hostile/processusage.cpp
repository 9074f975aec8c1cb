#include "lab/hostile/processusage.h"

#include <array>
#include <filesystem>
#include <fstream>
#include <limits>
#include <string>
#include <system_error>
#include <unordered_set>

namespace Sequoiausher::Lab {

namespace {

constexpr int hexadecimal = 16;

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
    std::ifstream table(folder + "/net/tcp");
    table.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
    for (std::string line; std::getline(table, line);) {
        // Slot, local and remote address, state, TX:RX queue, timer, retransmits, user, timeout, inode.
        std::array<std::string, 10> columns;
        std::size_t at = 0;
        for (std::string &column : columns) {
            at = line.find_first_not_of(' ', at);
            const std::size_t end = line.find(' ', at);
            column = line.substr(at, end - at);
            at = end;
        }
        const bool isListening = columns[3] == "0A";
        if (!isListening && sockets.contains(columns[9])) {
            const std::size_t colon = columns[4].find(':');
            usage.unsentBytes += std::stoul(columns[4].substr(0, colon), nullptr, hexadecimal);
            usage.unreadBytes += std::stoul(columns[4].substr(colon + 1), nullptr, hexadecimal);
        }
    }
    return usage;
}

} // namespace Sequoiausher::Lab
