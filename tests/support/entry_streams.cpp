#include "support/entry_streams.hpp"

#include "common/json.hpp"
#include "support/cluster.hpp"

#include <sstream>
#include <thread>

namespace dandelionstep::testing {

std::string path_of(entry_cluster& cluster, const std::string& attempt)
{
    for (const std::string& id : cluster.replica_ids()) {
        const json runs = cluster.ledger(id).value("runs", json::object());
        if (runs.contains(attempt)) {
            return runs[attempt].value("path", "");
        }
    }
    return "";
}

std::string engine_in(entry_cluster& cluster, const std::string& path, bool first)
{
    for (const std::string& id : cluster.replica_ids()) {
        const std::size_t at = path.find(to_string(cluster.address_of(id)) + "=");
        if (at != std::string::npos && (at == 0) == first) {
            return id;
        }
    }
    return "";
}

std::string line_with(const std::string& text, const std::string& part)
{
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.find(part) != std::string::npos) {
            return line;
        }
    }
    return "";
}

std::string lines_with(const std::string& text, const std::string& part)
{
    std::istringstream lines(text);
    std::string line;
    std::string found;
    while (std::getline(lines, line)) {
        if (line.find(part) != std::string::npos) {
            found += line + "\n";
        }
    }
    return found;
}

std::int64_t number_in(const std::string& line, const std::string& field)
{
    const std::size_t at = line.find(field + "=");
    return at == std::string::npos ? -1 : std::stoll(line.substr(at + field.size() + 1));
}

caller_answer stream_while(entry_cluster& cluster, const std::string& attempt, const std::string& body,
                           const std::function<void(const std::string& path)>& strike)
{
    caller_answer answer;
    std::thread asking([&] { answer = cluster.stream(0, attempt, body); });
    std::string path;
    eventually([&] {
        path = path_of(cluster, attempt);
        return !path.empty();
    });
    strike(path);
    asking.join();
    return answer;
}

} // namespace dandelionstep::testing
