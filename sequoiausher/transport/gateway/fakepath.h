#pragma once

// A path to a fake target that a test can cut, as between one gateway and a target that others still reach.
//
//     FakePath path(target.address());
//     path.cut(PathCut::Silent);
//     path.heal();

#include "sequoiausher/base/nametable.h"
#include "sequoiausher/transport/stream/bytestream.h"
#include "sequoiausher/transport/stream/streamlistener.h"

#include <list>
#include <memory>
#include <string>
#include <vector>

namespace Sequoiausher {

/** What becomes of the connections over a path that is cut. */
enum class PathCut {
    /** Open connections carry nothing until the path is back, and new ones are never accepted nor refused. */
    Silent,
    /** Open connections are reset, and new ones are refused. */
    Reset,
    /** Open connections live on, and new ones are refused. */
    RefuseNew,
};

template<>
inline constexpr auto nameTable<PathCut> = std::to_array<NameEntry<PathCut>>({
    {PathCut::Silent, "silent"},
    {PathCut::Reset, "reset"},
    {PathCut::RefuseNew, "refuse-new"},
});

/** One path. Needs a running event loop. */
class FakePath
{
public:
    /** Listens at a free port and carries the connections to the address. */
    explicit FakePath(std::string to);
    ~FakePath();
    FakePath(const FakePath &) = delete;
    FakePath &operator=(const FakePath &) = delete;

    std::string address() const;
    /** Nothing if the path is cut already. */
    void cut(PathCut how);
    /** New connections pass again, and silenced ones carry what was sent meanwhile. */
    void heal();
    /** Whether the target listens; while it does not, new connections are refused as by a target that is gone. */
    void setListening(bool on);
    /** Connections that were accepted so far. */
    std::size_t accepted() const;

private:
    class Carried;
    void listen();
    /** Keeps the port without accepting anything, so that connections to it hang. */
    void hang();
    void stopHanging();

    /** Binds a socket to a free port, which keeps the port from others while nothing listens there. */
    void reservePort();

    std::string to;
    std::string listenAt;
    int reserved = -1;
    std::unique_ptr<StreamListener> listener;
    std::list<std::unique_ptr<Carried>> carried;
    std::vector<int> hanging;
    std::size_t acceptedCount = 0;
    bool isCut = false;
    bool isTargetListening = true;
};

} // namespace Sequoiausher
