#pragma once

// Everything that reads bytes from outside, as functions that a fuzzer can call.
//
//     for (const FuzzTarget &target : fuzzTargets()) {
//         target.feed(bytes);
//     }
//
// A target accepts any bytes. It throws FuzzFinding where the code under test accepts or refuses them in a way that
// contradicts itself; a crash, a report of a sanitizer or any other exception is a finding too. `tools/fuzz` runs them
// under libFuzzer, fuzzcorpustest feeds them the committed corpus.

#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace Sequoiausher {

/** The code under test contradicted itself. */
class FuzzFinding : public std::logic_error
{
public:
    using std::logic_error::logic_error;
};

/** One reader of foreign bytes. */
struct FuzzTarget
{
    /** Also the name of its folder in lab/fuzz/corpus. */
    std::string_view name;
    void (*feed)(std::string_view bytes) = nullptr;
};

/** All of them. */
std::span<const FuzzTarget> fuzzTargets();

/** A frame of messages from another router: what is decoded survives being encoded again. */
void feedFrame(std::string_view bytes);
/** The first frame of a connection between routers. */
void feedHello(std::string_view bytes);
/** What another gateway sends to open a tunnel, and the frames that it gets: both are the same however they arrive. */
void feedTunnel(std::string_view bytes);
/** A caller's request: a line "METHOD PATH", header lines, an empty line, the body. */
void feedRequest(std::string_view bytes);
/**
 * An engine's stream of events. The first byte says after how many bytes the stream is cut: the events must not hang on
 * that, and the quick scan of a chunk must see what the full parser sees.
 */
void feedStream(std::string_view bytes);
/** A target's report of its load. */
void feedLoad(std::string_view bytes);
/** A router's settings. */
void feedSettings(std::string_view bytes);
/** A document of the platform: a line with its name, then its body. What passes the check must compile. */
void feedDocument(std::string_view bytes);
/** A rules document: whatever compiles must decide as it explains. */
void feedRules(std::string_view bytes);

} // namespace Sequoiausher
