#pragma once

// `sequoiausher check`: are a router's settings and the platform's documents good? It sees all documents at once, so
// unknown pools and organisations are errors here.
//
//     sequoiausher check --settings etc/router.ini --documents etc/documents

#include "sequoiausher/cli/commandline.h"

namespace Sequoiausher {

/** Ends with Ok where nothing is wrong but warnings, and BadInput otherwise. */
class CheckCommand : public Command
{
public:
    CommandHelp help() const override;
    void addOptions(cxxopts::Options &options) const override;
    ExitCode run(const cxxopts::ParseResult &options, std::ostream &out, std::ostream &err) const override;
};

} // namespace Sequoiausher
