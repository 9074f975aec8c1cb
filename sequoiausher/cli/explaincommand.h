#pragma once

// `sequoiausher explain`: shows which rule decides about a request, why the earlier ones do not match, and which target
// is chosen. Uses a folder of documents, so that a change can be tried before it is published, or the documents in
// force at a router; with a router, targets are chosen by the current loads.
//
//     sequoiausher explain --documents etc/documents --organisation kentekenlab --model plate-model --chat 42

#include "sequoiausher/cli/commandline.h"

namespace Sequoiausher {

/** Exits with Ok if a rule decides, Failed if none does, and BadInput if the documents have an error. */
class ExplainCommand : public Command
{
public:
    CommandHelp help() const override;
    void addOptions(cxxopts::Options &options) const override;
    ExitCode run(const cxxopts::ParseResult &options, std::ostream &out, std::ostream &err) const override;
};

} // namespace Sequoiausher
