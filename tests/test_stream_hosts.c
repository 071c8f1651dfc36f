/*
    Streams that callers resume at other hosts, while servers of two software versions serve.

    Seen: within 0.2 s of a host's end its callers took their streams up at others, and half of the streams went on at
   the other version: only the host that began a stream knew its version.
*/
#include "gateway_fleet.h"

#define STREAMS 16
#define SETTLED_S 3.0  /* streams begin at both versions by then */
#define HANDOVER_S 1.0 /* a host that started has learned by then what the others know */
#define CALL_TIMEOUT_MS 20000

static const char catalog[] =
    "{\"revision\":4,\"pools\":[{\"name\":\"p\"}],\"routes\":[{\"name\":\"r\",\"host\":\"h.example\",\"prefix\":\"/\","
    "\"kind\":\"stream\",\"resume\":true,\"timeout_ms\":20000,\"target_ms\":2000,\"gap_ms\":2000,\"attempts\":1,"
    "\"open\":true,\"pools\":[{\"pool\":\"p\"}]}]}";

/* One attempt of a caller. */
typedef struct attempt_t {
    char id[24];
    char body[400];
    unsigned status; /* 0: the response was broken off */
    bool is_done;
} attempt_t;

/* Event 1 of a stream names the version; the stream is then held. A resumed stream gets event 2 and ends. */
static void on_stream(cw_exchange_t* x, void* user) {
    fleet_t* f = user;
    const char* id = cw_exchange_header(x, "Chalkway-Request-Id");
    const char* server = cw_exchange_header(x, "Chalkway-Server");
    bool is_resumed = cw_exchange_header(x, "Last-Event-Id") != NULL;
    const cw_header_t headers[] = {{"Chalkway-Request-Id", id ? id : ""}, {"Content-Type", "text/event-stream"}};
    char event[80];
    int size = snprintf(event, sizeof(event), "id: %d\ndata: version-%s\n\n", is_resumed ? 2 : 1,
                        f->versions[server ? atoi(server + 1) : 0]);
    f->served_count++;
    cw_exchange_stream(x, 200, headers, 2);
    cw_exchange_push(x, event, (size_t)size);
    if (is_resumed) {
        cw_exchange_finish(x, true);
    }
}

static bool on_attempt_data(void* user, const char* data, size_t size) {
    attempt_t* a = user;
    size_t used = strlen(a->body);
    size_t n = size < sizeof(a->body) - used - 1 ? size : 0;
    memcpy(a->body + used, data, n);
    a->body[used + n] = 0;
    return true;
}

static void on_attempt_done(void* user, const cw_call_result_t* result) {
    attempt_t* a = user;
    a->status = result->is_complete ? result->status : 0;
    a->is_done = true;
}

/* resumes NULL: a new stream. */
static void begin_attempt(fleet_t* f, int host, attempt_t* a, const char* id, const char* resumes) {
    char url[64];
    *a = (attempt_t){.status = 0};
    snprintf(a->id, sizeof(a->id), "%s", id);
    snprintf(url, sizeof(url), "http://%s.%d:7100/x", f->base, host + 1);
    cw_header_t headers[4] = {{"Host", "h.example"}, {"Chalkway-Request-Id", a->id}};
    if (resumes) {
        headers[2] = (cw_header_t){"Last-Event-Id", "1"};
        headers[3] = (cw_header_t){"Chalkway-Resumes", resumes};
    }
    cw_client_call(f->client, &(cw_call_desc_t){.url = url,
                                                .headers = headers,
                                                .header_count = resumes ? 4 : 2,
                                                .timeout_ms = CALL_TIMEOUT_MS,
                                                .use_new_connection = true,
                                                .on_data = on_attempt_data,
                                                .on_done = on_attempt_done,
                                                .user_data = a});
}

/* Waits until each attempt has an event, or is done. */
static void wait_for(fleet_t* f, const attempt_t* attempts, bool until_done) {
    ev_tstamp end = ev_time() + TIMEOUT_S;
    for (int i = 0; i < STREAMS; i++) {
        while (!attempts[i].is_done && (until_done || !strstr(attempts[i].body, "version-"))) {
            ck_assert_msg(ev_time() < end, "attempt %s: %s", attempts[i].id, attempts[i].body);
            ev_run(f->loop, EVRUN_ONCE);
        }
    }
}

static void start_all(fleet_t* f) {
    for (int i = 0; i < HOSTS; i++) {
        start_host(f, i);
    }
    for (int i = 0; i < HOSTS; i++) {
        poll_until(f, i, 7101, "/readyz", 200, NULL, NULL);
        poll_until(f, i, 7103, "/metrics", 200, "chalkway_members_live 3\n", NULL);
    }
}

/* Kills all hosts and starts them again. */
static void restart_all(fleet_t* f) {
    for (int i = 0; i < HOSTS; i++) {
        stop_host(f, i, SIGKILL);
    }
    start_all(f);
}

static fleet_t* setup(const char* const versions[SERVERS_MAX]) {
    fleet_t* f = fleet_setup();
    f->catalog = catalog;
    cw_httpd_shutdown(f->servers[0]);
    f->server_count = 0;
    for (uint32_t i = 0; i < SERVERS_MAX; i++) {
        f->versions[i] = versions[i];
        f->servers[f->server_count++] = start_httpd(f, on_stream);
    }
    f->halls[2] = "b";
    start_all(f);
    return f;
}

static void begin_streams(fleet_t* f, attempt_t* streams) {
    for (int i = 0; i < STREAMS; i++) {
        char id[24];
        snprintf(id, sizeof(id), "first-%d", i);
        begin_attempt(f, 0, &streams[i], id, NULL);
        pause_for(f, 0.002); /* load spreads over the servers */
    }
    wait_for(f, streams, false);
}

/* The callers of the streams ask the other hosts to go on. */
static void resume_all(fleet_t* f, const attempt_t* streams, attempt_t* resumed) {
    for (int i = 0; i < STREAMS; i++) {
        char id[24];
        snprintf(id, sizeof(id), "second-%d", i);
        begin_attempt(f, 1 + i % 2, &resumed[i], id, streams[i].id);
    }
    wait_for(f, resumed, true);
}

static const char* version_in(const attempt_t* a) {
    const char* named = strstr(a->body, "version-");
    return named ? named + strlen("version-") : "";
}

static void check_all_went_on(const attempt_t* streams, const attempt_t* resumed) {
    uint32_t of_two = 0;
    for (int i = 0; i < STREAMS; i++) {
        ck_assert_msg(resumed[i].status == 200, "stream %d: status %u, %s", i, resumed[i].status, resumed[i].body);
        ck_assert_msg(version_in(&streams[i])[0] == version_in(&resumed[i])[0], "stream %d: %s and %s", i,
                      streams[i].body, resumed[i].body);
        of_two += version_in(&streams[i])[0] == '2';
    }
    ck_assert(of_two > 0 && of_two < STREAMS); /* both versions began streams */
}

static const char* const two_versions[SERVERS_MAX] = {"1", "2", "1", "2"};
static const char* const one_version[SERVERS_MAX] = {"1", "1", "1", "1"};

START_TEST(streams_of_a_killed_host_go_on_at_their_version) {
    attempt_t streams[STREAMS];
    attempt_t resumed[STREAMS];
    fleet_t* f = setup(two_versions);
    pause_for(f, SETTLED_S);
    begin_streams(f, streams);
    stop_host(f, 0, SIGKILL);
    resume_all(f, streams, resumed);
    check_all_went_on(streams, resumed);
    fleet_shutdown(f);
}
END_TEST

/* The host is killed the moment the callers have their first events: status 503, "the version of the stream is
   unknown". */
START_TEST(streams_go_on_though_their_host_is_killed_right_after_the_first_events) {
    attempt_t streams[STREAMS];
    attempt_t resumed[STREAMS];
    fleet_t* f = setup(two_versions);
    pause_for(f, SETTLED_S);
    for (int i = 0; i < STREAMS; i++) {
        char id[24];
        snprintf(id, sizeof(id), "first-%d", i);
        begin_attempt(f, 0, &streams[i], id, NULL);
    }
    wait_for(f, streams, false);
    stop_host(f, 0, SIGKILL);
    resume_all(f, streams, resumed);
    check_all_went_on(streams, resumed);
    fleet_shutdown(f);
}
END_TEST

/* Host 1 loses its records, and queries. */
START_TEST(a_host_that_just_started_queries_the_version) {
    attempt_t streams[STREAMS];
    attempt_t resumed[STREAMS];
    fleet_t* f = setup(two_versions);
    pause_for(f, SETTLED_S);
    begin_streams(f, streams);
    stop_host(f, 1, SIGKILL);
    start_host(f, 1);
    poll_until(f, 1, 7101, "/readyz", 200, NULL, NULL);
    poll_until(f, 1, 7103, "/metrics", 200, "chalkway_members_live 3\n", NULL);
    stop_host(f, 0, SIGKILL);
    resume_all(f, streams, resumed);
    check_all_went_on(streams, resumed);
    fleet_shutdown(f);
}
END_TEST

/* Nobody is left who knows: no stream may go on by a guess. */
START_TEST(unknown_streams_are_refused_after_all_hosts_were_killed) {
    attempt_t streams[STREAMS];
    attempt_t resumed[STREAMS];
    fleet_t* f = setup(two_versions);
    pause_for(f, SETTLED_S);
    begin_streams(f, streams);
    restart_all(f);
    uint32_t served = f->served_count;
    resume_all(f, streams, resumed);
    ck_assert_uint_eq(f->served_count, served);
    for (int i = 0; i < STREAMS; i++) {
        ck_assert_msg(resumed[i].status == 503 && strstr(resumed[i].body, "version of the stream is unknown"),
                      "stream %d: status %u, %s", i, resumed[i].status, resumed[i].body);
    }
    fleet_shutdown(f);
}
END_TEST

/* One version has served all the time, as the history of the source shows, so it began each stream. */
START_TEST(unknown_streams_of_the_only_version_go_on_after_all_hosts_were_killed) {
    attempt_t streams[STREAMS];
    attempt_t resumed[STREAMS];
    fleet_t* f = setup(one_version);
    f->has_history = true;
    begin_streams(f, streams);
    restart_all(f);
    resume_all(f, streams, resumed);
    for (int i = 0; i < STREAMS; i++) {
        ck_assert_msg(resumed[i].status == 200, "stream %d: status %u, %s", i, resumed[i].status, resumed[i].body);
    }
    fleet_shutdown(f);
}
END_TEST

/* The hosts 1 and 2, each of which received the records of host 0, stop and start again one after the other. */
static void restart_receivers(fleet_t* f, int signal_number) {
    for (int i = 1; i < HOSTS; i++) {
        stop_host(f, i, signal_number);
        start_host(f, i);
        poll_until(f, i, 7101, "/readyz", 200, NULL, NULL);
        for (int host = 0; host < HOSTS; host++) {
            poll_until(f, host, 7103, "/metrics", 200, "chalkway_members_live 3\n", NULL);
        }
        pause_for(f, HANDOVER_S);
    }
}

static const int restart_signals[] = {SIGKILL, SIGTERM};

/* Guards against records that end with the hosts that received them: after restarts in turn the version of a stream was
   unknown to all, status 503. */
START_TEST(streams_go_on_after_all_receivers_of_their_records_were_restarted) {
    attempt_t streams[STREAMS];
    attempt_t resumed[STREAMS];
    fleet_t* f = setup(two_versions);
    f->grace = "500ms";
    pause_for(f, SETTLED_S);
    begin_streams(f, streams);
    restart_receivers(f, restart_signals[_i]);
    stop_host(f, 0, SIGKILL);
    resume_all(f, streams, resumed);
    check_all_went_on(streams, resumed);
    fleet_shutdown(f);
}
END_TEST

/* A release ends while hosts are restarted in turn: servers of version 1 run on, but aren't listed any more. Hosts that
   have never seen version 1 took version 2 for the only one, and streams held events of both. */
START_TEST(no_stream_goes_on_at_another_version_after_a_release_and_restarts_in_turn) {
    attempt_t streams[STREAMS];
    attempt_t resumed[STREAMS];
    uint32_t refused = 0;
    fleet_t* f = setup(two_versions);
    f->grace = "500ms";
    pause_for(f, SETTLED_S);
    begin_streams(f, streams);
    f->unlisted = 1U << 0U | 1U << 2U;
    restart_receivers(f, restart_signals[_i]);
    stop_host(f, 0, SIGKILL);
    resume_all(f, streams, resumed);
    for (int i = 0; i < STREAMS; i++) {
        bool is_of_two = version_in(&streams[i])[0] == '2';
        ck_assert_msg(is_of_two ? resumed[i].status == 200 && version_in(&resumed[i])[0] == '2'
                                : resumed[i].status == 503,
                      "stream %d: %s, resumed: status %u, %s", i, streams[i].body, resumed[i].status, resumed[i].body);
        refused += !is_of_two;
    }
    ck_assert(refused > 0 && refused < STREAMS);
    fleet_shutdown(f);
}
END_TEST

/* Guards against text joined from two versions: all hosts were killed when the servers of version 1 had just left the
   list, and hosts that started took version 2, the only listed one, for that of each stream. */
START_TEST(no_stream_goes_on_at_another_version_after_a_release_and_a_loss_of_all_hosts) {
    attempt_t streams[STREAMS];
    attempt_t resumed[STREAMS];
    uint32_t of_two = 0;
    fleet_t* f = setup(two_versions);
    f->has_history = _i;
    pause_for(f, SETTLED_S);
    begin_streams(f, streams);
    f->unlisted = 1U << 0U | 1U << 2U;
    restart_all(f);
    resume_all(f, streams, resumed);
    for (int i = 0; i < STREAMS; i++) {
        ck_assert_msg(resumed[i].status == 503 || version_in(&streams[i])[0] == version_in(&resumed[i])[0],
                      "stream %d: %s, resumed: status %u, %s", i, streams[i].body, resumed[i].status, resumed[i].body);
        of_two += version_in(&streams[i])[0] == '2';
    }
    ck_assert(of_two < STREAMS);
    fleet_shutdown(f);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_loop_test(t, no_stream_goes_on_at_another_version_after_a_release_and_a_loss_of_all_hosts, 0, 2);
    tcase_add_loop_test(t, streams_go_on_after_all_receivers_of_their_records_were_restarted, 0, 2);
    tcase_add_loop_test(t, no_stream_goes_on_at_another_version_after_a_release_and_restarts_in_turn, 0, 2);
    tcase_add_test(t, streams_of_a_killed_host_go_on_at_their_version);
    tcase_add_test(t, streams_go_on_though_their_host_is_killed_right_after_the_first_events);
    tcase_add_test(t, a_host_that_just_started_queries_the_version);
    tcase_add_test(t, unknown_streams_are_refused_after_all_hosts_were_killed);
    tcase_add_test(t, unknown_streams_of_the_only_version_go_on_after_all_hosts_were_killed);
}

int main(void) {
    return run_suite("stream_hosts", add_tests, 90);
}
