/* ORDER: while the store is away, servers start again under the ids that they had, at the next software version. Streams
   that began at the old version go on at a server that has the new one. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../rig-2/rig.h"

#define CALLERS 48
#define SERVERS 4
#define AWAY_MS 8000
#define DOWN_MS 1300
#define BETWEEN_MS 700

static volatile bool is_over;
static uint32_t streams, whole, of_two_versions, open_callers;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void* run_caller(void* arg) {
    rig_gateway_t* g = &rig_gateways[*(const size_t*)arg % rig_gateway_count];
    rig_call_t call = {0};
    while (!is_over) {
        char headers[160];
        snprintf(headers, sizeof(headers), "Model: m\r\nToken-Counts: 100,60\r\nPrefix-Hash: %08x:60,%08x:40\r\n",
                 rig_random(UINT32_MAX), rig_random(UINT32_MAX));
        rig_ask_t ask = {.path = "/s/chat", .headers = headers, .body_size = 400, .deadline_ms = 12000};
        call.last_event = 0;
        call.first[0] = 0;
        rig_call(g, &ask, &call);
        bool is_mixed = call.status == 200 && call.body && strstr(call.body, " v1\n") && strstr(call.body, " v2\n");
        if (is_mixed) {
            const char* change = strstr(call.body, " v2\n");
            int from = 0;
            for (const char* at = call.body; at < change; at = strchr(at, '\n') + 1) {
                sscanf(at, "id: %d", &from);
            }
            rig_record("ORDER %s holds events of two versions, of v2 from event %d", call.id, from);
        }
        pthread_mutex_lock(&lock);
        streams++;
        whole += call.status == 200 && call.is_complete;
        of_two_versions += is_mixed;
        pthread_mutex_unlock(&lock);
    }
    rig_call_free(&call);
    __sync_fetch_and_sub(&open_callers, 1);
    return NULL;
}

int main(int argc, char** argv) {
    rig_init(argc > 1 ? argv[1] : ".", 3);
    rig_store_start(0);
    rig_config(1);
    for (int i = 0; i < SERVERS; i++) {
        rig_server_t* s = rig_server("llm", true, 48, "v1", true);
        s->events = 60;
        rig_server_start(s);
    }
    rig_gateways_start();
    rig_sleep_ms(3000);
    open_callers = CALLERS;
    for (size_t i = 0; i < CALLERS; i++) {
        rig_thread(run_caller, &rig_numbers[i]);
        rig_sleep_ms(30);
    }
    rig_sleep_ms(3000);
    double away_ms = rig_now_ms();
    if (rig_trouble) {
        rig_store_set_busy(true);
    }
    rig_sleep_ms(300);
    for (int i = 0; i < SERVERS; i++) {
        rig_server_crash(&rig_servers[i]);
        rig_sleep_ms(DOWN_MS);
        rig_server_restart(&rig_servers[i], "v2");
        rig_sleep_ms(BETWEEN_MS);
    }
    rig_sleep_ms(away_ms + AWAY_MS - rig_now_ms());
    if (rig_trouble) {
        rig_store_set_busy(false);
    }
    rig_sleep_ms(3000);
    is_over = true;
    while (open_callers) {
        rig_sleep_ms(20);
    }
    rig_report("%u streams, %u whole, %u hold events of two software versions", streams, whole, of_two_versions);
    if (whole < 50) {
        rig_fail("too few streams");
    }
    return rig_finish(of_two_versions > 2);
}
