/*
    Order and time limits of requests that wait for a slot of a pool that is fully used.

    Guards against a class that is starved by a burst of a more urgent one: its callers got 503 (46 of 239 requests in
    five seconds), while less urgent long prompts of the same seconds were served. Streams with a hold time of 2.6 s
    arrived at five times their usual rate and all else at twice. After two seconds all slots were in use, a sixth of
    them by long prompts started at the onset of the burst. The requests of the second class then waited behind every
    stream and gave up after 100 ms: of 1,920 refusals of the two short classes, in four failed runs on three
    deployments, 1,746 came after exactly this wait. None came below a utilization of 0.95, so outdated load reports
    were not the cause. The second class used 3 to 37 of 576 slots and had three to five requests ahead of a waiting
    one; no long prompt was sent while any of its 414 refused requests waited.

    Slots were assigned by the urgency and the free slots of the moment, and waits ended by the shortest target of the
    pool. The hold time of each class, its arrival rate and the time until which its callers wait have to count as
    well.
*/
#include "pool_model.h"
#include "rig.h"

#define ROUTES                                                                                                         \
    "{\"revision\":1,\"pools\":[{\"name\":\"p\",\"engine\":{\"slots\":8,\"memory_tokens\":900000}}],\"routes\":["      \
    "{\"name\":\"urgent\",\"host\":\"h.example\",\"prefix\":\"/urgent/\",\"kind\":\"stream\",\"timeout_ms\":5000,"     \
    "\"target_ms\":250,\"tier\":0,\"attempts\":1,\"pools\":[{\"pool\":\"p\"}]},"                                       \
    "{\"name\":\"short\",\"host\":\"h.example\",\"prefix\":\"/short/\",\"kind\":\"stream\",\"timeout_ms\":3000,"       \
    "\"target_ms\":400,\"tier\":1,\"attempts\":1,\"pools\":[{\"pool\":\"p\"}]}]}"
#define CALL(path)                                                                                                     \
    "POST " path " HTTP/1.1\r\nHost: h.example\r\nChalkway-Request-Id: q1\r\nChalkway-Tokens: 100,10\r\n"              \
    "Content-Length: 0\r\n\r\n"
#define OK(body, length) "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nContent-Length: " length "\r\n\r\n" body

/* Reports that requests of another host use this number of slots of the only engine. */
static void set_running(rig_t* r, uint32_t running) {
    cw_load_t load = {.running = running};
    cw_balance_on_peer_load(upstreams_pool(r->upstreams, "p")->balance, clock_ms(), 7, cw_name_id("s0"), &load);
}

/* Advances the clock while all slots are in use. */
static void advance_full(rig_t* r, int64_t ms) {
    cw_clock_simulate_suspend(ms);
    set_running(r, 8);
    exchanges_on_resume(r->exchanges);
}

/* First cause: a request left the queue after 0.4 of the shortest target of its pool, 100 ms, although its caller would
   have waited for seconds and a slot became free shortly after. */
START_TEST(a_request_waits_for_a_slot_as_long_as_its_caller_waits) {
    rig_t* r = rig_setup(ROUTES, 1);
    rig_script(r, (rig_step_t[]){{RIG_RESPOND, OK("a", "1")}, {RIG_RESPOND, OK("b", "1")}}, 2);
    ck_assert_ptr_nonnull(strstr(rig_call(r, CALL("/urgent/")), "200")); /* the pool learns the shortest target */
    set_running(r, 8);
    rig_write(r, CALL("/short/"));
    while (!exchanges_stats(r->exchanges).waiting) {
        ev_run(r->loop, EVRUN_ONCE);
    }
    advance_full(r, 1000);
    ck_assert_uint_eq(exchanges_stats(r->exchanges).outcomes[EXCHANGE_REFUSED], 0);
    ck_assert_uint_eq(exchanges_stats(r->exchanges).waiting, 1);
    set_running(r, 7);
    exchanges_on_slot_free(r->exchanges, upstreams_pool(r->upstreams, "p"));
    rig_run(r);
    ck_assert_ptr_nonnull(strstr(cw_buffer_text(&r->response), "200"));
    rig_shutdown(r);
}
END_TEST

/* Second cause: long prompts still took slots, each for seven seconds, when requests of a more urgent class had begun
   to arrive at five times their usual rate and would need all slots a second later. The arrival rate shows this before
   all slots are in use: four tenths of them are free here. */
START_TEST(a_long_prompt_leaves_the_slots_that_urgent_requests_will_take) {
    cw_server_spec_t spec = {.id = 5, .slots = 64, .memory_tokens = 900000};
    cw_work_t urgent = {.urgency = 1, .prompt_tokens = 800, .output_tokens = 300, .target_ms = 250, .gap_ms = 120};
    cw_work_t tolerant = {.urgency = 7, .prompt_tokens = 12000, .output_tokens = 400, .target_ms = 2000, .gap_ms = 500};
    cw_balance_t* b = cw_balance_setup(&(cw_balance_desc_t){.seed = 1});
    int64_t now_ms = 1000;
    cw_balance_set_servers(b, now_ms, &spec, 1);
    cw_balance_set_fleet(b, now_ms, &(cw_fleet_t){.ids = (uint64_t[]){1}, .count = 1});
    cw_run_t runs[40];
    for (uint32_t i = 0; i < 40; i++, now_ms += 500) { /* two per second, each for two seconds: four slots */
        cw_balance_on_request(b, now_ms, &urgent);
        runs[i] = cw_balance_begin(b, now_ms, 0, &urgent);
        cw_balance_on_first_byte(b, now_ms + 20, &runs[i]);
        if (i >= 4) {
            cw_balance_end(b, now_ms, &runs[i - 4], CW_TRY_SERVED);
        }
        cw_choice_t c = cw_balance_choose(b, now_ms, &tolerant, NULL, 0);
        ck_assert_uint_eq(c.server, 0); /* at the usual rate there are slots for long prompts */
    }
    for (uint32_t i = 0; i < 32; i++, now_ms += i % 2 ? 12 : 13) { /* 80 per second need 160 slots; 36 are in use */
        cw_balance_on_request(b, now_ms, &urgent);
        cw_balance_begin(b, now_ms, 0, &urgent);
    }
    ck_assert_uint_eq(cw_balance_choose(b, now_ms, &urgent, NULL, 0).server, 0);
    ck_assert_uint_eq(cw_balance_choose(b, now_ms, &tolerant, NULL, 0).server, CW_BALANCE_NONE);
    cw_balance_shutdown(b);
}
END_TEST

/* The load of the incident: eight hosts in front of nine engines with 64 slots. For five seconds, streams with a hold
   time of 2.6 s arrive at five to six times their usual rate and all else at twice, which needs about all slots. The
   second class has a hold time of 0.2 s, so it uses few slots at any time. The bound is the stated target: no class
   loses more than a twelfth of its requests within five seconds. */
START_TEST(a_light_class_is_not_starved_by_a_burst_of_a_more_urgent_one) {
    static model_t m;
    memset(&m, 0, sizeof(m));
    m.hosts = 8;
    m.engines = 9;
    m.slots = 64;
    m.report_delay_ms = 12;
    m.direct_delay_ms = 12;
    m.prefill_ms_per_token = 0.018;
    m.class_count = 3;
    m.classes[0] = (model_class_t){
        .work = {.urgency = 1, .prompt_tokens = 830, .output_tokens = 290, .target_ms = 250, .repeatable = true},
        .per_s = 28,
        .generate_ms = 2600,
        .caller_timeout_ms = 2000};
    m.classes[1] = (model_class_t){
        .work = {.urgency = 4, .prompt_tokens = 2400, .output_tokens = 22, .target_ms = 400, .gap_ms = 200},
        .per_s = 20,
        .generate_ms = 200,
        .caller_timeout_ms = 2000};
    m.classes[2] = (model_class_t){
        .work = {.urgency = 7, .prompt_tokens = 12000, .output_tokens = 380, .target_ms = 2000, .gap_ms = 500},
        .per_s = 12,
        .generate_ms = 6500,
        .caller_timeout_ms = 8000};
    model_setup(&m, (uint64_t)_i + 1);
    model_run_for(&m, 8000);
    m.classes[0].per_s = 185;
    m.classes[1].per_s = 50;
    m.classes[2].per_s = 24;
    uint32_t arrived = m.classes[1].arrived;
    uint32_t refused = m.classes[1].refused;
    uint32_t streams_arrived = m.classes[0].arrived;
    uint32_t streams_refused = m.classes[0].refused;
    model_run_for(&m, 5000);
    ck_assert_uint_le(m.classes[1].refused - refused, (m.classes[1].arrived - arrived) / 12);
    ck_assert_uint_le(m.classes[0].refused - streams_refused, (m.classes[0].arrived - streams_arrived) / 12);
    ck_assert_uint_gt(m.classes[2].refused, 20); /* the load was an overload */
    model_shutdown(&m);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, a_request_waits_for_a_slot_as_long_as_its_caller_waits);
    tcase_add_test(t, a_long_prompt_leaves_the_slots_that_urgent_requests_will_take);
    tcase_add_loop_test(t, a_light_class_is_not_starved_by_a_burst_of_a_more_urgent_one, 0, 5);
}

int main(void) {
    return run_suite("turns", add_tests, 60);
}
