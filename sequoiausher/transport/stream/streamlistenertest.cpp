#include "sequoiausher/transport/stream/streamlistener.h"

#include "sequoiausher/transport/http/testloop.h"

#include <QEventLoop>
#include <QTimer>

#include <doctest/doctest.h>

#include <ctime>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace Sequoiausher;
using namespace Sequoiausher::Internal;

namespace {

/** Uses up the process's descriptors during its lifetime. */
class NoDescriptors
{
public:
    NoDescriptors()
    {
        for (int next = open("/dev/null", O_RDONLY); next >= 0; next = open("/dev/null", O_RDONLY)) {
            this->taken.push_back(next);
        }
    }
    ~NoDescriptors()
    {
        for (const int each : this->taken) {
            ::close(each);
        }
    }
    NoDescriptors(const NoDescriptors &) = delete;
    NoDescriptors &operator=(const NoDescriptors &) = delete;

private:
    std::vector<int> taken;
};

double processorMs()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e3 + static_cast<double>(now.tv_nsec) / 1e6;
}

} // namespace

// Guards against an event loop that is busy with failing accepts when no descriptors are left.
TEST_CASE("a listener without descriptors waits, and accepts once there are some")
{
    testApplication();
    constexpr rlim_t fewDescriptors = 64;
    rlimit limit{};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &limit) == 0);
    const rlimit before = limit;
    limit.rlim_cur = fewDescriptors;
    REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
    std::vector<int> accepted;
    StreamListener listener("127.0.0.1:0", [&accepted](int descriptor) { accepted.push_back(descriptor); });
    // The kernel completes the connection without the listener.
    const int caller = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(listener.port());
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(caller, reinterpret_cast<const sockaddr *>(&to), sizeof to) == 0);
    {
        const NoDescriptors none;
        const double used = processorMs();
        // runFor() polls without a pause.
        QEventLoop loop;
        QTimer::singleShot(400, &loop, &QEventLoop::quit);
        loop.exec();
        CHECK(accepted.empty());
        CHECK(processorMs() - used < 100);
    }
    CHECK(runUntil([&accepted] { return accepted.size() == 1; }, 2000));
    for (const int each : accepted) {
        ::close(each);
    }
    ::close(caller);
    setrlimit(RLIMIT_NOFILE, &before);
}
