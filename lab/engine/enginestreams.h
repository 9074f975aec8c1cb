#pragma once

// The connections that read the runs of a stand-in engine. Tokens are written out once for each reader and step.
//
//     EngineStreams streams(model);
//     streams.add(exchange, run, true, 0, {});
//     model.step(now);
//     streams.deliver();

#include "lab/engine/enginemodel.h"
#include "sequoiausher/transport/http/httpserver.h"

#include <memory>
#include <optional>
#include <string>

namespace Sequoiausher::Lab {

/** What is wrong with the answer to one reader. */
struct ReaderFault
{
    /** Close the connection after this many tokens. */
    std::optional<std::size_t> breakAfter = std::nullopt;
    /** The id to answer under, in place of the run's own. */
    std::optional<RequestId> answerId = std::nullopt;
};

/** All readers of one engine. A run without a reader is reported to the model as disconnected. */
class EngineStreams
{
public:
    /** @param model must outlive the streams. */
    explicit EngineStreams(EngineModel &model);
    ~EngineStreams();

    /**
     * Makes exchange a reader of run: as a stream from chunk offset on, or of the whole answer. What is there already
     * is written at once.
     */
    void add(const std::shared_ptr<HttpExchange> &exchange,
             RunNumber run,
             bool streamed,
             std::size_t offset,
             const ReaderFault &fault);

    /** Writes out what the model emitted since the last call. */
    void deliver();

    /** Tells the readers of a cancelled run that it broke off. */
    void endCancelled(RunNumber run);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher::Lab
