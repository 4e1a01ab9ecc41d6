#include "entry/vm_directory.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

namespace {

vm_record record_of(const std::string& vm, const std::string& data_centre)
{
    vm_record record;
    record.vm = vm_id(vm);
    record.data_centre = data_centre_id(data_centre);
    return record;
}

} // namespace

TEST_CASE("daemons whose rows change count as live, others no longer")
{
    vm_directory directory;
    note_vm(directory, record_of("a", "n"), 1, {0});
    note_vm(directory, record_of("b", "n"), 2, {0});
    note_vm(directory, record_of("c", "p"), 3, {0});
    CHECK(live_vms(directory, {1'000}) == 3);
    CHECK(live_vms_in(directory, data_centre_id("n"), {1'000}) == 2);
    const time_point later = time_point{0} + vm_renew_interval * 3;
    note_vm(directory, record_of("a", "n"), 4, later);
    note_vm(directory, record_of("b", "n"), 2, later);
    CHECK(live_vms(directory, later) == 1);
    CHECK(outdated_vms(directory, later).empty());
    CHECK(outdated_vms(directory, later + vm_renew_interval * 6).size() == 2);
}

TEST_CASE("a reader counts at least itself")
{
    CHECK(live_vms({}, {0}) == 1);
    CHECK(live_vms_in({}, data_centre_id("n"), {0}) == 1);
}

TEST_CASE("daemons whose rows were removed are forgotten")
{
    vm_directory directory;
    note_vm(directory, record_of("a", "n"), 1, {0});
    note_vm(directory, record_of("b", "n"), 2, {0});
    keep_only(directory, {vm_id("b")});
    CHECK(live_vms(directory, {0}) == 1);
}

TEST_CASE("a vm's row survives being written and read, and others are refused")
{
    vm_record record = record_of("a", "n");
    record.process = 0xFEDCBA9876543210ULL;
    record.config_version = 17;
    record.renewals = 3;
    const absl::StatusOr<vm_record> read = parse_vm_record(to_text(record));
    REQUIRE(read.ok());
    CHECK(read->vm == record.vm);
    CHECK(read->data_centre == record.data_centre);
    CHECK(read->process == record.process);
    CHECK(read->config_version == 17);
    CHECK(read->renewals == 3);
    for (const char* text : {"", "[]", "{}", R"({"vm":3})"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_vm_record(text).ok());
    }
}
