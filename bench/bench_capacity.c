/*
    Measures the unit costs of a host's control work (bytes, CPU time, memory) and computes their sum for the target
    size: 330 daemons, 750 servers, 3,800 requests per second, 7,000 workspaces, 36 models, 2,300 configuration changes
    per day.
*/
#include <malloc.h>
#include <string.h>

#include "../chalkway_hist.h"
#include "../chalkway_rendezvous.h"
#include "../chalkway_runonce.h"
#include "../chalkway_shard.h"
#include "../chalkway_store.h"
#include "../tests/fleet.h"
#include "../tools/site.h"
#include "bench.h"

#define TARGET_HOSTS 330.0
#define TARGET_SERVERS 750.0
#define REQUESTS_PER_S 3800.0
#define TARGET_WORKSPACES 7000
#define TARGET_MODELS 36.0
#define CHANGES_PER_DAY 2300.0
#define SECONDS_PER_DAY 86400.0
#define PACKET_BYTES 66.0      /* Ethernet, IP and TCP headers of one small packet */
#define DIGEST_INTERVAL_S 20.0 /* interval between an entry's digests */
#define REPORT_INTERVAL_S 0.4  /* interval between the load reports that a shard polls */
#define CPU_LIMIT_PERCENT 1.6  /* % of a core */
#define BYTES_LIMIT_PER_S 16384.0
#define MEMORY_LIMIT_MB 64.0
#define RESTARTS_PER_DAY 270.0

/* -- member --------------------------------------------------------------- */

typedef struct member_cost_t {
    double bytes_per_s, cpu_us_per_s, memory_kb;
} member_cost_t;

static member_cost_t measure_membership(uint32_t hosts) {
    static fleet_t fleet;
    const double seconds = 60;
    size_t before_bytes = mallinfo2().uordblks + mallinfo2().hblkhd;
    fleet_setup(&fleet, hosts, 1);
    double memory = (double)(mallinfo2().uordblks + mallinfo2().hblkhd - before_bytes) / hosts / 1024;
    fleet_run(&fleet, 600000);
    fleet.bytes = 0;
    fleet.messages = 0;
    double cpu = bench_cpu_s();
    fleet_run(&fleet, (int64_t)(seconds * 1000));
    cpu = bench_cpu_s() - cpu;
    member_cost_t c = {.bytes_per_s = 2 * ((double)fleet.bytes + 28.0 * (double)fleet.messages) / hosts / seconds,
                       .cpu_us_per_s = cpu * 1e6 / hosts / seconds,
                       .memory_kb = memory};
    fleet_shutdown(&fleet);
    return c;
}

static member_cost_t print_membership(json_t* out) {
    static const uint32_t sizes[] = {9, 50, 150, 330};
    member_cost_t c = {0};
    printf("member: one host, received and sent, all views equal\n  hosts   bytes/s   cpu us/s   memory KB\n");
    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        c = measure_membership(sizes[i]);
        printf("  %5u %9.0f %10.0f %11.0f\n", sizes[i], c.bytes_per_s, c.cpu_us_per_s, c.memory_kb);
        json_array_append_new(out, json_pack("{s:i,s:f,s:f,s:f}", "hosts", (int)sizes[i], "bytes_s", c.bytes_per_s,
                                             "cpu_us_s", c.cpu_us_per_s, "memory_kb", c.memory_kb));
    }
    return c;
}

/* Time until all hosts have a revision that one of them has polled. A host has the revision once it receives a message
   that carries it. */
static double measure_propagation(uint32_t hosts, uint64_t seed) {
    static fleet_t fleet;
    fleet_setup(&fleet, hosts, seed);
    fleet_run(&fleet, 120000);
    int64_t start_ms = fleet.now_ms;
    cw_members_set_status(fleet.hosts[0], 7, 50);
    uint32_t converged_count = 0;
    while (converged_count < hosts && fleet.now_ms - start_ms < 60000) {
        fleet_run(&fleet, FLEET_STEP_MS);
        converged_count = 0;
        for (uint32_t i = 0; i < hosts; i++) {
            int64_t highest = i ? 0 : 7;
            for (uint32_t k = 1; k < cw_members_count(fleet.hosts[i]); k++) {
                int64_t known_revision = cw_members_at(fleet.hosts[i], k)->revision;
                highest = known_revision > highest ? known_revision : highest;
            }
            cw_members_set_status(fleet.hosts[i], highest, 50);
            converged_count += highest == 7;
        }
    }
    double seconds = (double)(fleet.now_ms - start_ms) / 1000;
    fleet_shutdown(&fleet);
    return seconds;
}

static void print_propagation(json_t* out) {
    static const uint32_t sizes[] = {9, 50, 150, 330};
    printf("\npropagation of a revision, worst of 5 runs\n  hosts   seconds\n");
    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        double worst_s = 0;
        for (uint64_t seed = 1; seed <= 5; seed++) {
            double s = measure_propagation(sizes[i], seed);
            worst_s = s > worst_s ? s : worst_s;
        }
        printf("  %5u %9.2f\n", sizes[i], worst_s);
        json_array_append_new(out, json_pack("{s:i,s:f}", "hosts", (int)sizes[i], "worst_s", worst_s));
    }
}

/* -- messages of one request ---------------------------------------------- */

typedef struct message_cost_t {
    double slot_request, grant, queued, grant_release, digest; /* bytes of a frame */
    double codec_us; /* CPU time to encode and decode one message of each of these five kinds */
} message_cost_t;

static double frame_size(cw_wire_t* wire, const cw_msg_t* msg) {
    return (double)cw_wire_encode_frame(wire, msg).size;
}

static message_cost_t measure_messages(void) {
    cw_wire_t* wire = cw_wire_setup(NULL);
    static cw_msg_t m[5];
    static cw_msg_t decoded;
    uint64_t id = cw_name_id("some-name");
    for (int i = 0; i < 5; i++) {
        m[i].shard = id;
    }
    m[0].type = CW_MSG_SLOT_REQUEST;
    m[0].slot_request = (cw_slot_request_t){.seq = 1000000,
                                            .tier = 1,
                                            .weight = 1,
                                            .workspace = id,
                                            .cost = 400,
                                            .est_ms = 20000,
                                            .queue_ms = 5000,
                                            .remaining_ms = 30000,
                                            .prefix = id,
                                            .hall = id};
    m[1].type = m[2].type = CW_MSG_ACTION;
    m[1].action = (cw_shard_action_t){
        .kind = CW_SHARD_GRANT, .seq = 1000000, .grant = id, .upstream = id, .queued_ms = 300, .ttl_ms = 500};
    m[2].action = (cw_shard_action_t){.kind = CW_SHARD_QUEUED, .seq = 1000000};
    m[3].type = CW_MSG_GRANT_RELEASE;
    m[3].grant_release = (cw_grant_release_t){.grant = id, .took_ms = 20000, .cost = 400};
    m[4].type = CW_MSG_GRANT_DIGEST;
    m[4].digest = (cw_grant_digest_t){.last = id, .ids_xor = id, .count = 200};
    message_cost_t c = {.slot_request = frame_size(wire, &m[0]),
                        .grant = frame_size(wire, &m[1]),
                        .queued = frame_size(wire, &m[2]),
                        .grant_release = frame_size(wire, &m[3]),
                        .digest = frame_size(wire, &m[4])};
    const int rounds = 20000;
    double cpu = bench_cpu_s();
    for (int r = 0; r < rounds; r++) {
        for (int i = 0; i < 5; i++) {
            cw_bytes_t f = cw_wire_encode_frame(wire, &m[i]);
            if (cw_wire_decode(wire, f.data + CW_FRAME_HEADER, f.size - CW_FRAME_HEADER, &decoded, NULL) != CW_OK) {
                abort();
            }
        }
    }
    c.codec_us = (bench_cpu_s() - cpu) * 1e6 / rounds;
    cw_wire_shutdown(wire);
    printf("\nmessages: slot request %.0f, grant %.0f, queued %.0f, release %.0f, digest %.0f bytes; codec %.2f us for "
           "all five\n",
           c.slot_request, c.grant, c.queued, c.grant_release, c.digest, c.codec_us);
    return c;
}

/* -- allocator ------------------------------------------------------------ */

/* Returns the CPU time per request, in us, of one shard allocator with the given number of entries, and its memory. */
static double measure_shard(uint32_t entries, double* memory_mb) {
    size_t before_bytes = mallinfo2().uordblks + mallinfo2().hblkhd;
    cw_shard_t* s = cw_shard_setup(&(cw_shard_desc_t){.epoch = 1});
    *memory_mb = (double)(mallinfo2().uordblks + mallinfo2().hblkhd - before_bytes) / 1048576;
    cw_pick_spec_t specs[21];
    for (uint32_t i = 0; i < 21; i++) {
        specs[i] = (cw_pick_spec_t){.id = 100 + i, .slots = 100};
    }
    cw_shard_set_upstreams(s, specs, 21);
    rng_t rng = {.state = entries};
    const uint32_t rounds = 50000;
    static uint64_t held[1000];
    uint32_t seq = 0;
    double cpu = bench_cpu_s();
    for (uint32_t i = 0; i < rounds; i++) {
        const cw_grant_release_t release = {.grant = held[i % 1000], .took_ms = 20000, .cost = 400};
        cw_slot_request_t slot_request = {.entry = 1 + rng_below(&rng, entries),
                                          .seq = ++seq,
                                          .tier = (uint8_t)rng_below(&rng, 4),
                                          .workspace = 1 + rng_below(&rng, 900),
                                          .cost = 400,
                                          .est_ms = 100,
                                          .queue_ms = 5000,
                                          .remaining_ms = 60000,
                                          .prefix = 1 + rng_below(&rng, 5000)};
        cw_shard_action_t a;
        cw_shard_release_grant(s, i / 100, &release);
        cw_shard_request_slot(s, i / 100, &slot_request);
        while (cw_shard_next_action(s, i / 100, &a)) {
            held[i % 1000] = a.kind == CW_SHARD_GRANT ? a.grant : 0;
        }
    }
    cpu = bench_cpu_s() - cpu;
    cw_shard_shutdown(s);
    return cpu * 1e6 / rounds;
}

typedef struct allocator_cost_t {
    double request_us, memory_mb;
} allocator_cost_t;

static allocator_cost_t print_allocator(json_t* out) {
    static const uint32_t sizes[] = {9, 100, 330};
    allocator_cost_t c = {0};
    printf("\nallocator: one shard of 21 upstreams, 900 workspaces\n  entries     us/request   memory MB\n");
    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        c.request_us = measure_shard(sizes[i], &c.memory_mb);
        printf("  %7u %14.2f %11.2f\n", sizes[i], c.request_us, c.memory_mb);
        json_array_append_new(out, json_pack("{s:i,s:f,s:f}", "entries", (int)sizes[i], "request_us", c.request_us,
                                             "memory_mb", c.memory_mb));
    }
    return c;
}

/* -- configuration -------------------------------------------------------- */

typedef struct config_cost_t {
    double memory_mb, change_ms, load_ms, bytes;
} config_cost_t;

static void put_workspace(cw_store_t* s, uint32_t i, int64_t revision) {
    char key[64];
    char doc[256];
    snprintf(key, sizeof(key), "workspaces/customer-%u", i);
    snprintf(doc, sizeof(doc), "{\"token_digests\":[\"%064x\"],\"weight\":%u,\"rate\":100,\"concurrency\":200}", i + 1,
             1 + i % 9);
    if (cw_store_put(s, key, revision, doc) != CW_OK) {
        abort();
    }
}

static config_cost_t measure_config(uint32_t workspaces) {
    size_t before_bytes = mallinfo2().uordblks + mallinfo2().hblkhd;
    double cpu = bench_cpu_s();
    cw_store_t* s = cw_store_setup(&(cw_store_desc_t){0});
    for (uint32_t i = 0; i < workspaces; i++) {
        put_workspace(s, i, i + 1);
    }
    for (uint32_t i = 0; i < 750; i++) {
        char key[64];
        char doc[256];
        snprintf(key, sizeof(key), "upstreams/server-%u", i);
        snprintf(doc, sizeof(doc), "{\"pool\":\"model-%u\",\"address\":\"10.0.0.1:80\",\"hall\":\"h\",\"slots\":100}",
                 i % 36);
        cw_store_put(s, key, 100000 + i, doc);
    }
    for (uint32_t i = 0; i < 36; i++) {
        char key[64];
        snprintf(key, sizeof(key), "pools/model-%u", i);
        cw_store_put(s, key, 200000 + i, "{\"kind\":\"engine\",\"model\":\"m\"}");
    }
    cw_store_commit(s, 300000);
    config_cost_t c = {.load_ms = (bench_cpu_s() - cpu) * 1000};
    c.memory_mb = (double)(mallinfo2().uordblks + mallinfo2().hblkhd - before_bytes) / 1048576;
    const int changes = 20;
    cpu = bench_cpu_s();
    for (int i = 0; i < changes; i++) {
        put_workspace(s, (uint32_t)i, 400000 + i);
        cw_store_commit(s, 400000 + i);
    }
    c.change_ms = (bench_cpu_s() - cpu) * 1000 / changes;
    for (uint32_t i = 0; i < cw_store_count(s); i++) {
        const cw_store_item_t* item = cw_store_at(s, i);
        c.bytes += (double)(strlen(item->key) + strlen(item->value) + 16);
    }
    cw_store_shutdown(s);
    return c;
}

static config_cost_t print_config(json_t* out) {
    static const uint32_t sizes[] = {700, 2000, 7000};
    config_cost_t c = {0};
    printf("\nconfiguration: 750 upstreams, 36 pools and workspaces\n"
           "  workspaces   memory MB   one change ms  full load ms  full, bytes\n");
    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        c = measure_config(sizes[i]);
        printf("  %10u %11.2f %15.3f %13.1f %12.0f\n", sizes[i], c.memory_mb, c.change_ms, c.load_ms, c.bytes);
        json_array_append_new(out,
                              json_pack("{s:i,s:f,s:f,s:f,s:f}", "workspaces", (int)sizes[i], "memory_mb", c.memory_mb,
                                        "change_ms", c.change_ms, "load_ms", c.load_ms, "bytes", c.bytes));
    }
    return c;
}

/* -- idempotency keys ----------------------------------------------------- */

static double print_runonce(json_t* out) {
    double slope = 0;
    printf("\nidempotency keys: memory of the run-once table\n  records   KB\n");
    for (uint32_t records = 4096; records <= 16384; records *= 2) {
        cw_runonce_t* t = cw_runonce_setup(&(cw_runonce_desc_t){.host = "a", .incarnation = 1, .max_records = records});
        slope = (double)cw_runonce_bytes(t) / records;
        printf("  %7u %4.0f\n", records, (double)cw_runonce_bytes(t) / 1024);
        json_array_append_new(out, json_pack("{s:i,s:i}", "records", (int)records, "bytes", (int)cw_runonce_bytes(t)));
        cw_runonce_shutdown(t);
    }
    return slope;
}

/* -- real processes ------------------------------------------------------- */

typedef struct process_cost_t {
    double cpu_percent, memory_mb, bytes_per_s;
} process_cost_t;

static double cpu_ticks(pid_t pid) {
    char path[64];
    unsigned long user = 0;
    unsigned long system = 0;
    snprintf(path, sizeof(path), "/proc/%d/stat", pid);
    FILE* f = fopen(path, "r");
    if (!f || fscanf(f, "%*d %*s %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user, &system) != 2) {
        user = 0;
    }
    if (f) {
        fclose(f);
    }
    return (double)(user + system);
}

static double resident_mb(pid_t pid) {
    char path[64];
    long pages = 0;
    snprintf(path, sizeof(path), "/proc/%d/statm", pid);
    FILE* f = fopen(path, "r");
    if (!f || fscanf(f, "%*d %ld", &pages) != 1) {
        pages = 0;
    }
    if (f) {
        fclose(f);
    }
    return (double)pages * 4096 / 1048576;
}

static double peer_bytes(const site_proc_t* p) {
    static site_response_t a;
    a = site_call(&(site_request_t){.address = p->operator_http, .path = "/metrics"});
    double sum = 0;
    for (const char* at = strstr(a.body, "chalkway_peer_bytes_total{"); at;
         at = strstr(at + 1, "chalkway_peer_bytes_total{")) {
        const char* value = strchr(at, ' ');
        sum += value ? strtod(value, NULL) : 0;
    }
    return sum;
}

/* Mean cost of the given number of idle daemons over ten seconds. */
static process_cost_t measure_processes(const char* build, int daemons) {
    static site_t site;
    static const char* const none[] = {NULL};
    const double seconds = 10;
    process_cost_t c = {0};
    site_setup(&site, build);
    site_start(&site, SITE_PLATFORM, "platform", "h0", none);
    site_publish(&site, "{\"items\":[{\"key\":\"pools/p\",\"value\":{\"kind\":\"service\"}}]}");
    for (int i = 0; i < daemons; i++) {
        char name[16];
        char hall[16];
        snprintf(name, sizeof(name), "d%d", i);
        snprintf(hall, sizeof(hall), "h%d", i % 4);
        site_start_daemon(&site, name, hall);
    }
    if (!site_wait_ready(&site, 60000)) {
        fprintf(stderr, "%d daemons did not become ready\n", daemons);
        site_shutdown(&site);
        return c;
    }
    site_sleep_ms(5000);
    for (int i = 1; i < site.count; i++) {
        c.cpu_percent -= cpu_ticks(site.procs[i].pid);
        c.bytes_per_s -= peer_bytes(&site.procs[i]);
    }
    site_sleep_ms((int)(seconds * 1000));
    for (int i = 1; i < site.count; i++) {
        c.cpu_percent += cpu_ticks(site.procs[i].pid);
        c.bytes_per_s += peer_bytes(&site.procs[i]);
        c.memory_mb += resident_mb(site.procs[i].pid);
    }
    site_shutdown(&site);
    c.cpu_percent = c.cpu_percent / seconds / daemons; /* ticks are hundredths of a second */
    c.bytes_per_s = c.bytes_per_s / seconds / daemons;
    c.memory_mb /= daemons;
    return c;
}

static process_cost_t print_processes(const char* build, json_t* out) {
    static const int sizes[] = {3, 9, 27, 60};
    process_cost_t c = {0};
    printf("\nreal daemons, idle, mean per daemon\n  daemons   cpu %%   resident MB   peer bytes/s\n");
    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        c = measure_processes(build, sizes[i]);
        printf("  %7d %7.2f %13.1f %14.0f\n", sizes[i], c.cpu_percent, c.memory_mb, c.bytes_per_s);
        json_array_append_new(out, json_pack("{s:i,s:f,s:f,s:f}", "daemons", sizes[i], "cpu_percent", c.cpu_percent,
                                             "resident_mb", c.memory_mb, "peer_bytes_s", c.bytes_per_s));
    }
    return c;
}

/* -- sum ------------------------------------------------------------------ */

/* Bytes on the wire of one load report, requested over an open connection. */
static double measure_report(const char* build) {
    static site_t site;
    static site_response_t a;
    static const char* const none[] = {NULL};
    site_setup(&site, build);
    site_proc_t* engine = site_start(&site, SITE_ENGINE, "engine", "h0", none);
    a = site_call(&(site_request_t){.address = engine ? engine->http : "127.0.0.1:1", .path = "/v1/load"});
    site_shutdown(&site);
    double bytes = (double)a.bytes + 3 * PACKET_BYTES;
    printf("\nload report: %.0f bytes each, including the headers of three packets\n", bytes);
    return bytes;
}

typedef struct cost_sum_t {
    double cpu_percent, bytes_per_s, memory_mb;
} cost_sum_t;

static void print_row(json_t* out, cost_sum_t* sum, const char* role, double cpu_percent, double bytes_per_s,
                      double memory_mb) {
    printf("  %-34s %8.3f %10.0f %10.2f\n", role, cpu_percent, bytes_per_s, memory_mb);
    json_array_append_new(out, json_pack("{s:s,s:f,s:f,s:f}", "role", role, "cpu_percent", cpu_percent, "bytes_s",
                                         bytes_per_s, "memory_mb", memory_mb));
    sum->cpu_percent += cpu_percent;
    sum->bytes_per_s += bytes_per_s;
    sum->memory_mb += memory_mb;
}

typedef struct unit_costs_t {
    member_cost_t member;
    message_cost_t messages;
    allocator_cost_t allocator;
    config_cost_t config;
    process_cost_t process;
    double record_bytes;
    double report_bytes;
} unit_costs_t;

/* Sum of the costs of a host that has all roles at once and allocates one shard of shard_size servers. */
static json_t* print_sum(const unit_costs_t* k, double shard_size) {
    json_t* out = json_array();
    cost_sum_t sum = {0};
    double shards = TARGET_SERVERS / shard_size < TARGET_MODELS ? TARGET_MODELS : TARGET_SERVERS / shard_size;
    double entry_requests_per_s = REQUESTS_PER_S / TARGET_HOSTS;
    double shard_requests_per_s = REQUESTS_PER_S / shards;
    const message_cost_t* m = &k->messages;
    double request_bytes = m->slot_request + m->grant + m->grant_release + 3 * PACKET_BYTES;
    double changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY;
    printf("\nat 330 hosts, shards of %.0f servers (%.0f shards): one host that owns one shard\n", shard_size, shards);
    printf("  %-34s %8s %10s %10s\n", "role", "cpu %", "bytes/s", "memory MB");
    print_row(out, &sum, "process (measured idle, 60 daemons)", k->process.cpu_percent, 0, k->process.memory_mb);
    print_row(out, &sum, "entry: wants, grants, done", entry_requests_per_s * m->codec_us / 1e4,
              entry_requests_per_s * request_bytes, k->record_bytes * 16384 / 1048576);
    print_row(out, &sum, "entry: digests to its allocators", shards / DIGEST_INTERVAL_S * m->codec_us / 5 / 1e4,
              shards / DIGEST_INTERVAL_S * (m->digest + PACKET_BYTES), 0);
    print_row(out, &sum, "allocator: one shard", shard_requests_per_s * (k->allocator.request_us + m->codec_us) / 1e4,
              shard_requests_per_s * request_bytes, k->allocator.memory_mb);
    print_row(out, &sum, "allocator: digests of entries", TARGET_HOSTS / DIGEST_INTERVAL_S * m->codec_us / 5 / 1e4,
              TARGET_HOSTS / DIGEST_INTERVAL_S * (m->digest + PACKET_BYTES), 0);
    print_row(out, &sum, "allocator: load reports", 0, k->report_bytes / REPORT_INTERVAL_S, 0);
    print_row(out, &sum, "member", k->member.cpu_us_per_s / 1e4, k->member.bytes_per_s, k->member.memory_kb / 1024);
    print_row(out, &sum, "reader: changes", changes_per_s * k->config.change_ms / 10, changes_per_s * 2 * 600,
              k->config.memory_mb);
    print_row(out, &sum, "reader: a restarted host's start", 0,
              RESTARTS_PER_DAY / TARGET_HOSTS / SECONDS_PER_DAY * k->config.bytes * 2, 0);
    printf("  %-34s %8.3f %10.0f %10.2f\n", "sum", sum.cpu_percent, sum.bytes_per_s, sum.memory_mb);
    printf("  %-34s %8.1f %10.0f %10.0f   %s\n", "allowed", CPU_LIMIT_PERCENT, BYTES_LIMIT_PER_S, MEMORY_LIMIT_MB,
           sum.cpu_percent <= CPU_LIMIT_PERCENT && sum.bytes_per_s <= BYTES_LIMIT_PER_S &&
                   sum.memory_mb <= MEMORY_LIMIT_MB
               ? "holds"
               : "DOES NOT HOLD");
    json_array_append_new(out, json_pack("{s:s,s:f,s:f,s:f}", "role", "sum", "cpu_percent", sum.cpu_percent, "bytes_s",
                                         sum.bytes_per_s, "memory_mb", sum.memory_mb));
    return out;
}

int main(int argc, char** argv) {
    const char* build = argc > 1 ? argv[1] : "build";
    setvbuf(stdout, NULL, _IOLBF, 0);
    json_t* member = json_array();
    json_t* allocator = json_array();
    json_t* config = json_array();
    json_t* runonce = json_array();
    json_t* processes = json_array();
    json_t* spread = json_array();
    print_propagation(spread);
    if (argc > 2 && strcmp(argv[2], "spread") == 0) {
        return bench_write(build, "spread", json_pack("{s:o}", "spread", spread));
    }
    unit_costs_t k = {.member = print_membership(member)};
    k.messages = measure_messages();
    k.allocator = print_allocator(allocator);
    k.config = print_config(config);
    k.record_bytes = print_runonce(runonce);
    k.report_bytes = measure_report(build);
    k.process = print_processes(build, processes);
    json_t* large = print_sum(&k, 21);
    json_t* small = print_sum(&k, 8);
    json_t* smallest = print_sum(&k, 4);
    json_t* messages = json_pack("{s:f,s:f,s:f,s:f,s:f,s:f}", "want", k.messages.slot_request, "grant",
                                 k.messages.grant, "queued", k.messages.queued, "done", k.messages.grant_release,
                                 "digest", k.messages.digest, "codec_us", k.messages.codec_us);
    return bench_write(build, "capacity",
                       json_pack("{s:s,s:o,s:o,s:o,s:o,s:o,s:o,s:o,s:o,s:o,s:o}", "scenario", "capacity", "member",
                                 member, "spread", spread, "messages", messages, "allocator", allocator, "config",
                                 config, "runonce", runonce, "processes", processes, "shards_of_21", large,
                                 "shards_of_8", small, "shards_of_4", smallest));
}
