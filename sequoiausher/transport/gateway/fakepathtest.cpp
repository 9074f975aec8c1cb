#include "sequoiausher/transport/gateway/fakepath.h"

#include "sequoiausher/base/error.h"
#include "sequoiausher/transport/stream/ipv4socket.h"

#include <QtCore/QCoreApplication>
#include <doctest/doctest.h>

#include <sys/socket.h>
#include <unistd.h>

using namespace Sequoiausher;

namespace {

int argc = 0;
const QCoreApplication app(argc, nullptr);

bool isFree(const std::string &address)
{
    const Ipv4Socket opened = openIpv4Socket(address, Step::Listen);
    const bool isBound = bind(opened.descriptor, opened.address(), sizeof opened.at) == 0;
    ::close(opened.descriptor);
    return isBound;
}

} // namespace

// Guards against another process that gets the port of a path that is cut, so that the path cannot heal.
TEST_CASE("the port of a path stays reserved while nothing listens there")
{
    FakePath path("127.0.0.1:1");
    CHECK_FALSE(isFree(path.address()));
    for (const PathCut how : {PathCut::Reset, PathCut::RefuseNew, PathCut::Silent}) {
        CAPTURE(nameOf(how));
        path.cut(how);
        CHECK_FALSE(isFree(path.address()));
        path.heal();
        CHECK_FALSE(isFree(path.address()));
    }
    path.setListening(false);
    CHECK_FALSE(isFree(path.address()));
    path.setListening(true);
}
