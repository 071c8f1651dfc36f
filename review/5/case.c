/* LOST: a machine loses power while one software version serves; within two seconds the first server of another version
   starts. The streams that the machine's clients take up elsewhere are all refused, because only the lost machine knew
   their version. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../rig-2/rig.h"

#define AT_LOST 24      /* clients of the machine that loses power */
#define ELSEWHERE 24    /* clients of the others */
#define DEADLINE_MS 12000
#define GAP_MS 2000     /* of two seconds, 4 x 250 ms and 8 x 150 ms the longest */
#define TRIES 6
#define NEXT_VERSION_MS 500 /* after the loss */
#define DARK_MS 3500

static volatile bool is_over, is_dark;
static uint32_t taken_up, went_on, begun, new_streams, open_callers;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static uint32_t draw_other(uint32_t than) {
    uint32_t at = 1 + rig_random(rig_gateway_count - 1);
    return at != than || rig_gateway_count < 3 ? at : 1 + at % (rig_gateway_count - 1);
}

/* One stream of a client over its tries. */
static void run_stream(uint32_t at) {
    rig_call_t call = {0};
    double deadline_ms = rig_now_ms() + DEADLINE_MS;
    bool was_taken_up = false, is_new_elsewhere = false, did_go_on = false;
    int from = 0;
    for (int try = 0; try < TRIES && deadline_ms - rig_now_ms() > 500; try++) {
        char headers[320];
        int n = snprintf(headers, sizeof(headers), "Model: m\r\nToken-Counts: 100,60\r\nPrefix-Hash: aa01:60,%08x:40\r\n",
                         rig_random(UINT32_MAX));
        if (call.last_event) {
            snprintf(headers + n, sizeof(headers) - (size_t)n, "Last-Event-Id: %d\r\nResumes: %s\r\n", call.last_event,
                     call.first);
        }
        rig_ask_t ask = {.path = "/s/chat", .headers = headers, .gap_ms = GAP_MS, .body_size = 400,
                         .deadline_ms = (int)(deadline_ms - rig_now_ms())};
        int before = call.last_event;
        if (before && !was_taken_up) {
            was_taken_up = true;
            from = before;
        }
        is_new_elsewhere = is_new_elsewhere || (is_dark && at != 0 && !before);
        rig_call(&rig_gateways[at], &ask, &call);
        did_go_on = did_go_on || (was_taken_up && call.last_event > from);
        if (call.status == 200 && call.is_complete) {
            break;
        }
        double third_ms = (deadline_ms - rig_now_ms()) / 3;
        if (call.status == 503 || call.status == 429) {
            rig_sleep_ms(call.retry_after_ms < third_ms ? call.retry_after_ms : third_ms);
        }
        at = draw_other(at);
    }
    pthread_mutex_lock(&lock);
    taken_up += was_taken_up;
    went_on += did_go_on;
    new_streams += is_new_elsewhere;
    begun += is_new_elsewhere && call.last_event > 0;
    pthread_mutex_unlock(&lock);
    if (was_taken_up) {
        rig_record("stream %s was taken up after event %d and %s", call.first, from, did_go_on ? "went on" : "did not go on");
    }
    rig_call_free(&call);
}

static void* run_caller(void* arg) {
    uint32_t at = *(const size_t*)arg < AT_LOST ? 0 : 1 + (uint32_t)(*(const size_t*)arg) % (rig_gateway_count - 1);
    while (!is_over && !(at == 0 && is_dark)) {
        run_stream(at);
    }
    __sync_fetch_and_sub(&open_callers, 1);
    return NULL;
}

int main(int argc, char** argv) {
    rig_init(argc > 1 ? argv[1] : ".", 4);
    rig_store_start(0);
    rig_config(1);
    for (int i = 0; i < 4; i++) {
        rig_server_t* s = rig_server("llm", true, 48, "v1", false);
        s->events = 60;
        rig_server_start(s);
    }
    rig_gateways_start();
    rig_sleep_ms(3000);
    open_callers = AT_LOST + ELSEWHERE;
    for (size_t i = 0; i < AT_LOST + ELSEWHERE; i++) {
        rig_thread(run_caller, &rig_numbers[i]);
        rig_sleep_ms(40);
    }
    rig_sleep_ms(3000);
    is_dark = true;
    if (rig_trouble) {
        rig_gateway_signal(&rig_gateways[0], SIGSTOP); /* a machine without power says nothing */
    }
    rig_sleep_ms(NEXT_VERSION_MS);
    rig_server_t* next = rig_server("llm", true, 48, "v2", false);
    next->events = 60;
    rig_server_start(next);
    rig_sleep_ms(DARK_MS - NEXT_VERSION_MS);
    if (rig_trouble) {
        rig_gateway_kill(&rig_gateways[0]);
        rig_gateway_start(&rig_gateways[0]);
    }
    rig_sleep_ms(6000);
    is_over = true;
    while (open_callers) {
        rig_sleep_ms(20);
    }
    rig_report("%u streams were taken up at other machines, %u of them went on; %u of %u new streams began there", taken_up,
               went_on, begun, new_streams);
    if (new_streams < 12 || begun * 2 < new_streams || (rig_trouble && taken_up < 12)) {
        rig_fail("too few streams");
    }
    bool is_broken = taken_up >= 12 && (double)went_on / taken_up < 0.5 * begun / new_streams;
    return rig_finish(is_broken);
}
