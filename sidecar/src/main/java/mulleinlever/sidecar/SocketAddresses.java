package mulleinlever.sidecar;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Reads address:port. Names are refused: looking one up would stall the event loop, and there is no
 * DNS.
 */
final class SocketAddresses {
    private SocketAddresses() {}

    /** The same form for the same address, however it was written. */
    static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Null where the text is none. */
    static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon).replaceAll("^\\[(.*)]$", "$1");
        String port = text.substring(colon + 1);
        if (!host.matches("\\d{1,3}(\\.\\d{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:.]*")
                || !port.matches("\\d{1,5}")
                || Integer.parseInt(port) > 65_535) {
            return null;
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(port));
        } catch (UnknownHostException e) {
            return null;
        }
    }
}
