/* What a host reports to the others, in fleets of several sizes. */
#include <ev.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../gateway/clock.h"
#include "../gateway/reporter.h"
#include "../io/address.h"
#include "test.h"

#define HOSTS_MAX 40
#define HALLS 2
#define PORT "7205"

/* Host 0 is under test; the others are sockets at their load addresses. */
typedef struct fleet_t {
    struct ev_loop* loop;
    int count;
    int fds[HOSTS_MAX];
    gateway_settings_t settings;
    cw_members_t* members;
    upstreams_t* upstreams; /* no server is listed */
    reporter_t* reporter;
} fleet_t;

static void ignore_line(const char* line, void* user) {
    (void)line;
    (void)user;
}

static const cw_log_t quiet_log = {.level = CW_LOG_ERROR, .write = ignore_line};

static cw_source_state_t source_state(void* user) {
    (void)user;
    return (cw_source_state_t){.revision = 1};
}

/* delay_ms of the observation received last, 1: none yet. */
static uint32_t received_delay_ms;

static void on_observation(void* user, const cw_quarantine_observation_t* observation) {
    (void)user;
    received_delay_ms = observation->delay_ms;
}

static void on_source_state(void* user, const char* share, bool is_remote, const cw_source_state_t* state) {
    (void)user;
    (void)share;
    (void)is_remote;
    (void)state;
}

static void on_stream_announced(void* user, const cw_stream_record_t* record) {
    (void)user;
    (void)record;
}

static const char* address(int host) {
    static char text[CW_MEMBER_ADDRESS_MAX];
    snprintf(text, sizeof(text), "127.%d.%d.%d:" PORT, 90 + getpid() / 250 % 10, 1 + getpid() % 250, host + 1);
    return text;
}

static cw_member_info_t member(int host, uint32_t link_mbps) {
    cw_member_info_t info = {.id = (uint64_t)host + 1, .incarnation = 1, .link_mbps = link_mbps};
    snprintf(info.name, sizeof(info.name), "h%d", host);
    snprintf(info.hall, sizeof(info.hall), "%c", 'a' + host % HALLS);
    snprintf(info.peer, sizeof(info.peer), "%s", address(host));
    return info;
}

/* own_mbps: link of host 0; the widest links make relays. */
static void fleet_init(fleet_t* f, int count, uint32_t own_mbps) {
    cw_error_t err = {0};
    *f = (fleet_t){.loop = ev_loop_new(0), .count = count};
    f->members = cw_members_setup(&(cw_members_desc_t){.self = member(0, own_mbps), .seed = 1});
    for (int i = 1; i < count; i++) {
        f->fds[i] = cw_addr_bind_udp(address(i), &err);
        ck_assert_msg(f->fds[i] >= 0, "%s", err.message);
        cw_gossip_t joined = {.kind = CW_GOSSIP_UPDATE, .from = member(i, 100)};
        cw_members_receive(f->members, clock_ms(), &joined);
    }
    snprintf(f->settings.cluster, sizeof(f->settings.cluster), "c");
    snprintf(f->settings.hall, sizeof(f->settings.hall), "a");
    snprintf(f->settings.load, sizeof(f->settings.load), "%s", address(0));
    snprintf(f->settings.share, sizeof(f->settings.share), "%s", address(0));
    f->upstreams = upstreams_setup(
        &(upstreams_desc_t){.loop = f->loop, .log = &quiet_log, .dialect = &dialect_native, .host = 1, .max_conns = 1});
    f->reporter = reporter_setup(&(reporter_desc_t){.loop = f->loop,
                                                    .upstreams = f->upstreams,
                                                    .settings = &f->settings,
                                                    .host = 1,
                                                    .source_state = source_state,
                                                    .on_source_state = on_source_state,
                                                    .on_observation = on_observation,
                                                    .on_stream_announced = on_stream_announced},
                                 &err);
    ck_assert_msg(f->reporter != NULL, "%s", err.message);
    reporter_set_members(f->reporter, f->members, &(reporter_position_t){.live = (uint32_t)count});
}

static void fleet_shutdown(fleet_t* f) {
    reporter_shutdown(f->reporter);
    upstreams_shutdown(f->upstreams);
    cw_members_shutdown(f->members);
    for (int i = 1; i < f->count; i++) {
        close(f->fds[i]);
    }
    ev_loop_destroy(f->loop);
}

/* Scope of a datagram with the version of a stream. */
static cw_load_scope_t stream_scope(const uint8_t* bytes, size_t size) {
    cw_stream_message_t message;
    ck_assert_int_eq(cw_stream_message_decode(&message, bytes, size), CW_OK);
    ck_assert_uint_eq(message.entries[0].version, 7);
    return message.scope;
}

/* Scope of a datagram with an observation. */
static cw_load_scope_t observation_scope(const uint8_t* bytes, size_t size) {
    cw_load_message_t message;
    ck_assert_int_eq(cw_load_decode(&message, bytes, size, NULL), CW_OK);
    ck_assert_uint_eq(message.observation_count, 1);
    return message.scope;
}

/* Number of hosts that have the news once those that received it have forwarded it as its scope asks. */
static int count_reached(const fleet_t* f, cw_load_scope_t (*scope_of)(const uint8_t* bytes, size_t size)) {
    bool is_reached[HOSTS_MAX] = {false};
    uint8_t bytes[CW_LOAD_BYTES];
    ssize_t size = 0;
    for (int i = 1; i < f->count; i++) {
        while ((size = recv(f->fds[i], bytes, sizeof(bytes), MSG_DONTWAIT)) > 0) {
            cw_load_scope_t scope = scope_of(bytes, (size_t)size);
            is_reached[i] = true;
            for (int other = 1; other < f->count && scope != CW_LOAD_NO_RELAY; other++) {
                is_reached[other] = is_reached[other] || scope == CW_LOAD_RELAY_TO_ALL || other % HALLS == i % HALLS;
            }
        }
    }
    int count = 0;
    for (int i = 1; i < f->count; i++) {
        count += is_reached[i];
    }
    return count;
}

static const int sizes[] = {2, 3, 6, 16, 17, 40};
static const uint32_t links[] = {20, 1000}; /* the latter is a relay */
#define FLEETS ((int)(sizeof(sizes) / sizeof(sizes[0]) * 2))

/* Guards against announcements that wait in the process: a host that was killed within a millisecond of a first event
   took the version of the stream with it. */
START_TEST(an_announcement_is_sent_before_the_event_passes) {
    fleet_t f;
    fleet_init(&f, sizes[_i / 2], links[_i % 2]);
    cw_stream_record_t record = {.stream = 5, .pool = 6, .version = 7, .expires_ms = clock_ms() + 5000};
    reporter_announce_streams(f.reporter, &record, 1);
    ck_assert_int_eq(count_reached(&f, stream_scope), f.count - 1);
    fleet_shutdown(&f);
}
END_TEST

/* A host may end right after a server crashed under its request: the others still need to hear of it. */
START_TEST(an_observation_is_sent_at_once) {
    fleet_t f;
    fleet_init(&f, sizes[_i / 2], links[_i % 2]);
    cw_quarantine_observation_t observation = {
        .kind = CW_OBSERVED_CRASH, .suspect = {.content_hash = 5}, .incarnation = 6};
    reporter_on_observations(f.reporter, &observation, 1);
    ck_assert_int_eq(count_reached(&f, observation_scope), f.count - 1);
    fleet_shutdown(&f);
}
END_TEST

/* Another host has sent an observation; it is read now. Returns its delay_ms. */
static uint32_t receive_observation(fleet_t* f) {
    static const cw_load_message_t sent = {
        .host = 2, .observations = {{.kind = CW_OBSERVED_CRASH, .incarnation = 6}}, .observation_count = 1};
    cw_load_message_t message = sent;
    uint8_t bytes[CW_LOAD_BYTES];
    struct sockaddr_in to;
    message.cluster = cw_name_id("c");
    size_t size = cw_load_encode(&message, bytes, sizeof(bytes));
    ck_assert_int_eq(cw_addr_parse(address(0), &to, NULL), CW_OK);
    received_delay_ms = 1;
    ck_assert_int_eq(sendto(f->fds[1], bytes, size, 0, (struct sockaddr*)&to, sizeof(to)), (ssize_t)size);
    while (received_delay_ms == 1) {
        ev_run(f->loop, EVRUN_ONCE);
    }
    return received_delay_ms;
}

/* Guards against a crash that counts twice at a host that was frozen: when it ran again, two ticks came before the
   socket was read, so what had waited there seemed to have arrived at once. */
START_TEST(what_waited_in_the_socket_may_be_as_old_as_the_stall) {
    fleet_t f;
    fleet_init(&f, 2, 100);
    int64_t now_ms = clock_ms();
    reporter_tick(f.reporter, now_ms - 2425);
    reporter_tick(f.reporter, now_ms - 2400);
    reporter_tick(f.reporter, now_ms);
    reporter_tick(f.reporter, now_ms);
    ck_assert_uint_ge(receive_observation(&f), 2400);
    fleet_shutdown(&f);
    fleet_init(&f, 2, 100);
    now_ms = clock_ms();
    reporter_tick(f.reporter, now_ms);
    reporter_tick(f.reporter, now_ms);
    ck_assert_uint_eq(receive_observation(&f), 0);
    fleet_shutdown(&f);
}
END_TEST

/* Guards against streams that only their host knows while one version serves: when it was lost as another version
   appeared, nobody could resume them. A query finds the hosts that keep the record. */
START_TEST(a_stream_is_deposited_at_hosts_that_a_query_reaches) {
    fleet_t f;
    uint8_t bytes[CW_LOAD_BYTES];
    fleet_init(&f, sizes[_i / 2], links[_i % 2]);
    for (uint64_t stream = 1; stream <= 20; stream++) {
        bool is_keeper[HOSTS_MAX] = {false};
        int keepers = 0;
        cw_stream_record_t record = {.stream = stream, .pool = 6, .version = 7, .expires_ms = clock_ms() + 5000};
        reporter_deposit_stream(f.reporter, &record);
        for (int i = 1; i < f.count; i++) {
            is_keeper[i] = recv(f.fds[i], bytes, sizeof(bytes), MSG_DONTWAIT) > 0;
            keepers += is_keeper[i];
        }
        ck_assert_int_eq(keepers, f.count - 1 < 3 ? f.count - 1 : 3);
        reporter_query_stream(f.reporter, stream, 6);
        for (int i = 1; i < f.count; i++) {
            bool is_queried = recv(f.fds[i], bytes, sizeof(bytes), MSG_DONTWAIT) > 0;
            ck_assert(is_queried || !is_keeper[i]);
            while (recv(f.fds[i], bytes, sizeof(bytes), MSG_DONTWAIT) > 0) {
            }
        }
    }
    fleet_shutdown(&f);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_loop_test(t, a_stream_is_deposited_at_hosts_that_a_query_reaches, 0, FLEETS);
    tcase_add_loop_test(t, an_announcement_is_sent_before_the_event_passes, 0, FLEETS);
    tcase_add_loop_test(t, an_observation_is_sent_at_once, 0, FLEETS);
    tcase_add_test(t, what_waited_in_the_socket_may_be_as_old_as_the_stall);
}

int main(void) {
    return run_suite("reporter", add_tests, 30);
}
